package org.cicadaarch.experiment.membership

import kotlin.time.Duration
import org.cicadaarch.membership.ListedVm
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.Timestamp

/**
 * Baseline: a node whose view is the platform's list, read every [period].
 *
 * [nameOf] tells which process a listed address means; a real router would need a lookup for that, which costs nothing
 * here. Processes end and start without the list's notice.
 */
class ListNode(
    override val self: RouterInfo,
    private val period: Duration,
    private val nameOf: (RouterAddress) -> RouterInfo?,
) : FleetNode<Unit> {
    private var nextRead = Timestamp(0)

    override var view: RouterView = RouterView(self.id, mapOf(self.id to self))
        private set

    override fun tick(now: Timestamp): NodeOutput<Unit> {
        if (now < nextRead) return NodeOutput()
        nextRead = now + period
        return NodeOutput(fetchesList = true)
    }

    override fun receive(from: RouterAddress, message: Unit, now: Timestamp): NodeOutput<Unit> = NodeOutput()

    override fun listFetched(entries: List<ListedVm>, now: Timestamp): NodeOutput<Unit> {
        val routers: Map<RouterId, RouterInfo> = (
            entries.mapNotNull {
                nameOf(it.address)
            } + self
            ).associateBy { it.id }
        if (routers.keys != view.routers.keys) view = RouterView(self.id, routers)
        return NodeOutput()
    }

    override fun leave(now: Timestamp): NodeOutput<Unit> = NodeOutput()

    override fun depart(now: Timestamp): NodeOutput<Unit> = NodeOutput()

    override fun stateBytes(): Int = StateSize.of(view)
}
