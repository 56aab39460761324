package org.cicadaarch.experiment.membership

import kotlin.time.Duration
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.cicadaarch.membership.ListedVm
import org.cicadaarch.membership.MemberProfile
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.Timestamp

/**
 * Baseline: a node that sends a heartbeat to every listed address each [period] and drops who was silent for [timeout].
 */
class HeartbeatNode(
    override val self: RouterInfo,
    private val period: Duration,
    private val timeout: Duration,
    private val listPeriod: Duration,
) : FleetNode<Heartbeat> {
    private val heard = linkedMapOf<RouterId, Pair<RouterInfo, Timestamp>>()
    private var listed = emptyList<RouterAddress>()
    private var nextBeat = Timestamp(0)
    private var nextRead = Timestamp(0)

    override var view: RouterView = RouterView(self.id, mapOf(self.id to self))
        private set

    override fun tick(now: Timestamp): NodeOutput<Heartbeat> {
        heard.values.removeAll { (_, lastHeard) -> lastHeard + timeout < now }
        renewView()
        val reads = now >= nextRead
        if (reads) nextRead = now + listPeriod
        if (now < nextBeat) return NodeOutput(fetchesList = reads)
        nextBeat = now + period
        return NodeOutput(beats(), fetchesList = reads)
    }

    override fun receive(from: RouterAddress, message: Heartbeat, now: Timestamp): NodeOutput<Heartbeat> {
        val info = message.profile.toInfo(message.id)
        heard.values.removeAll { (known, _) -> known.address == info.address && known.id != info.id }
        heard[info.id] = info to now
        return NodeOutput()
    }

    override fun listFetched(entries: List<ListedVm>, now: Timestamp): NodeOutput<Heartbeat> {
        listed = entries.map { it.address }.filter { it != self.address }
        return NodeOutput()
    }

    override fun leave(now: Timestamp): NodeOutput<Heartbeat> = NodeOutput()

    override fun depart(now: Timestamp): NodeOutput<Heartbeat> = NodeOutput()

    override fun stateBytes(): Int = StateSize.of(view)

    @OptIn(ExperimentalSerializationApi::class)
    private fun beats(): List<Datagram<Heartbeat>> {
        val beat = Heartbeat(self.id, MemberProfile.of(self))
        val bytes = Cbor.encodeToByteArray(Heartbeat.serializer(), beat).size
        return listed.map { Datagram(it, beat, bytes) }
    }

    private fun renewView() {
        if (heard.size + 1 == view.routers.size && heard.keys.all { it in view.routers }) return
        view = RouterView(self.id, (heard.values.map { it.first } + self).associateBy { it.id })
    }
}
