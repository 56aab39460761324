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

/** Returns a router [name] at [host], by default a host of the same name. */
internal fun router(name: String, host: String = name): RouterInfo = RouterInfo(
    id = RouterId(name),
    address = RouterAddress(host, port = 7_400),
    zone = ZoneName("zone"),
    region = RegionName("region"),
)

/** Returns the update that states [status] of [router] at [incarnation]. */
internal fun update(router: RouterInfo, incarnation: Long, status: MemberStatus): MemberUpdate =
    MemberUpdate(router.id, incarnation, status, MemberProfile.of(router).takeIf { status == MemberStatus.ALIVE })

/** Drives the reducer of one router with events and responds on behalf of its peers. */
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

    /** Ticks every 100 ms for [duration] and returns all effects. */
    fun run(duration: Duration): List<MembershipEffect> =
        (0 until duration.inWholeMilliseconds / TICK).flatMap { tickAfter(TICK.milliseconds) }

    /** Ticks once, [gap] after the last tick. */
    fun tickAfter(gap: Duration): List<MembershipEffect> {
        now += gap
        return reduce(MembershipEvent.Tick)
    }

    fun receive(message: MembershipMessage): List<MembershipEffect> =
        reduce(MembershipEvent.Received(message.sender.profile.address, message))

    /** Delivers [updates] in a gossip message from [from]. */
    fun gossip(from: RouterInfo, vararg updates: MemberUpdate): List<MembershipEffect> =
        receive(Gossip(sender(from), updates.toList()))

    /** Makes [routers] members: each pings, is probed in return and acknowledges the probe. */
    fun join(vararg routers: RouterInfo) = routers.forEach { peer ->
        val probe = receive(Ping(sender(peer), sequence = 1)).pings().last { it.to == peer.address }
        ack(probe, peer)
    }

    /** Acknowledges [probe] on behalf of [peer]. */
    fun ack(probe: MembershipEffect.Send, peer: RouterInfo, incarnation: Long = 0): List<MembershipEffect> =
        receive(Ack(sender(peer, incarnation), (probe.message as Ping).sequence))

    /** Ticks every 100 ms for [duration] while [peers] acknowledge every probe immediately. */
    fun runResponding(duration: Duration, vararg peers: RouterInfo) {
        val byAddress = peers.associateBy { it.address }
        repeat((duration / TICK.milliseconds).toInt()) {
            tickAfter(TICK.milliseconds).pings().forEach { ping ->
                byAddress[ping.to]?.let { ack(ping, it, state.table[it.id]?.incarnation ?: 0) }
            }
        }
    }

    fun sender(peer: RouterInfo, incarnation: Long = 0, revision: Revision = Revision.NONE): Sender =
        Sender(peer.id, incarnation, MemberProfile.of(peer), state.tableDigest(), revision)

    private companion object {
        const val TICK = 100L
    }
}

/** Returns the pings sent by these effects. */
internal fun List<MembershipEffect>.pings(): List<MembershipEffect.Send> = sends().filter { it.message is Ping }

/** Returns the messages sent by these effects. */
internal fun List<MembershipEffect>.sends(): List<MembershipEffect.Send> = filterIsInstance<MembershipEffect.Send>()
