package org.cicadaarch.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.membership.MembershipMessage.Ack
import org.cicadaarch.membership.MembershipMessage.Gossip
import org.cicadaarch.membership.MembershipMessage.Ping
import org.cicadaarch.model.RegionName
import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.ZoneName

/** A router [name] at its own address, unless [host] gives another one's. */
internal fun router(name: String, host: String = name): RouterInfo = RouterInfo(
    id = RouterId(name),
    address = RouterAddress(host, port = 7_400),
    zone = ZoneName("zone"),
    region = RegionName("region"),
)

/** What [status] says of [router] at [incarnation]. */
internal fun update(router: RouterInfo, incarnation: Long, status: MemberStatus): MemberUpdate =
    MemberUpdate(router.id, incarnation, status, MemberProfile.of(router).takeIf { status == MemberStatus.ALIVE })

/** Drives one router's reducer by events and answers in the place of its peers. */
internal class RouterDriver(settings: MembershipSettings = MembershipSettings()) {
    private val reducer = MembershipReducer(settings)
    private var now = Timestamp(0)

    val self = router("self")
    var state = MembershipState.initial(self, now)
        private set

    fun reduce(event: MembershipEvent): List<MembershipEffect> {
        val step = reducer.reduce(state, event, now)
        state = step.state
        return step.effects
    }

    /** Ticks every 100 ms for [duration]; returns all effects. */
    fun run(duration: Duration): List<MembershipEffect> =
        (0 until duration.inWholeMilliseconds / TICK).flatMap { tickAfter(TICK.milliseconds) }

    /** Ticks once, [gap] after the last tick. */
    fun tickAfter(gap: Duration): List<MembershipEffect> {
        now += gap
        return reduce(MembershipEvent.Tick)
    }

    fun receive(message: MembershipMessage): List<MembershipEffect> =
        reduce(MembershipEvent.Received(message.sender.profile.address, message))

    /** Passes [updates] on in the name of [from]. */
    fun gossip(from: RouterInfo, vararg updates: MemberUpdate): List<MembershipEffect> =
        receive(Gossip(sender(from), updates.toList()))

    /** Makes [routers] members: they ping, are probed in return and answer. */
    fun join(vararg routers: RouterInfo) = routers.forEach { peer ->
        val contact = receive(Ping(sender(peer), sequence = 1)).pings().last { it.to == peer.address }
        answer(contact, peer)
    }

    /** Answers [probe] as [peer]. */
    fun answer(probe: MembershipEffect.Send, peer: RouterInfo, incarnation: Long = 0): List<MembershipEffect> =
        receive(Ack(sender(peer, incarnation), (probe.message as Ping).sequence))

    /** Ticks for [duration] while [peers] answer every probe at once. */
    fun runAnswering(duration: Duration, vararg peers: RouterInfo) {
        val byAddress = peers.associateBy { it.address }
        repeat((duration / TICK.milliseconds).toInt()) {
            tickAfter(TICK.milliseconds).pings().forEach { ping ->
                byAddress[ping.to]?.let { answer(ping, it, state.table[it.id]?.incarnation ?: 0) }
            }
        }
    }

    fun sender(peer: RouterInfo, incarnation: Long = 0, revision: Revision = Revision.NONE): Sender =
        Sender(peer.id, incarnation, MemberProfile.of(peer), state.tableDigest(), revision)

    private companion object {
        const val TICK = 100L
    }
}

/** The pings among the effects. */
internal fun List<MembershipEffect>.pings(): List<MembershipEffect.Send> = sends().filter { it.message is Ping }

/** The messages among the effects. */
internal fun List<MembershipEffect>.sends(): List<MembershipEffect.Send> = filterIsInstance<MembershipEffect.Send>()
