package org.cicadaarch.experiment.membership

import org.cicadaarch.membership.MembershipCodec
import org.cicadaarch.membership.MembershipEffect
import org.cicadaarch.membership.MembershipMessage
import org.cicadaarch.membership.MembershipReducer
import org.cicadaarch.membership.MembershipSettings

/** A fleet of probing nodes whose messages pass through the codec. */
internal fun probingFleet(
    layout: FleetLayout = FleetLayout(routers = 7, zones = 3, regions = 1),
    seed: Long = 1,
    settings: MembershipSettings = MembershipSettings(),
    quality: LinkQuality = LinkQuality(),
    notice: (MembershipEffect) -> Unit = {},
): SimulatedFleet<MembershipMessage> {
    val reducer = MembershipReducer(settings.copy(seed = seed))
    return SimulatedFleet(
        layout = layout,
        seed = seed,
        quality = quality,
        transfer = { message -> checkNotNull(MembershipCodec.decode(MembershipCodec.encode(message))) },
        newNode = { info, now -> ProbingNode(info, reducer, now, notice) },
    )
}
