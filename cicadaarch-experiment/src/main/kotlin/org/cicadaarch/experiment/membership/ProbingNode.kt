package org.cicadaarch.experiment.membership

import org.cicadaarch.membership.ListedVm
import org.cicadaarch.membership.MembershipCodec
import org.cicadaarch.membership.MembershipEffect
import org.cicadaarch.membership.MembershipEvent
import org.cicadaarch.membership.MembershipMessage
import org.cicadaarch.membership.MembershipReducer
import org.cicadaarch.membership.MembershipState
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.Timestamp

/**
 * A node that runs the membership reducer.
 */
class ProbingNode(
    override val self: RouterInfo,
    private val reducer: MembershipReducer,
    now: Timestamp,
    private val notice: (MembershipEffect) -> Unit = {},
) : FleetNode<MembershipMessage> {
    /** The reducer's state at present. */
    var state: MembershipState = MembershipState.initial(self, now)
        private set

    override val view: RouterView get() = state.view

    override fun tick(now: Timestamp): NodeOutput<MembershipMessage> = reduce(MembershipEvent.Tick, now)

    override fun receive(
        from: RouterAddress,
        message: MembershipMessage,
        now: Timestamp,
    ): NodeOutput<MembershipMessage> = reduce(MembershipEvent.Received(from, message), now)

    override fun listFetched(entries: List<ListedVm>, now: Timestamp): NodeOutput<MembershipMessage> =
        reduce(MembershipEvent.ListFetched(entries), now)

    override fun leave(now: Timestamp): NodeOutput<MembershipMessage> = reduce(MembershipEvent.LeaveRequested, now)

    override fun depart(now: Timestamp): NodeOutput<MembershipMessage> = reduce(MembershipEvent.LeaveCompleted, now)

    override fun stateBytes(): Int = StateSize.of(view)

    private fun reduce(event: MembershipEvent, now: Timestamp): NodeOutput<MembershipMessage> {
        val step = reducer.reduce(state, event, now)
        state = step.state
        step.effects.forEach(notice)
        return NodeOutput(
            datagrams = step.effects.filterIsInstance<MembershipEffect.Send>().map(::datagram),
            fetchesList = MembershipEffect.FetchList in step.effects,
        )
    }

    private fun datagram(send: MembershipEffect.Send): Datagram<MembershipMessage> {
        val encoded = MembershipCodec.encode(send.message)
        return Datagram(send.to, send.message, encoded.size)
    }
}
