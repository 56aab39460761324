package org.cicadaarch.request

import org.cicadaarch.model.AccountId
import org.cicadaarch.model.ChatId
import org.cicadaarch.model.RegionName
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.ZoneName
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.placement.Candidate
import org.cicadaarch.placement.TargetRanking

/**
 * The targets of a service in the order in which an ingress requests permits on them, most preferred first.
 *
 * A chat keeps its order, so that its later turns reach the target that ran the earlier ones.
 */
object TargetPreferences {
    /** The targets for [chat] of [account] at an ingress in [region]. */
    fun forChat(
        account: AccountId,
        service: ServiceName,
        chat: ChatId,
        fleet: FleetDocument,
        region: RegionName?,
    ): List<TargetId> = TargetRanking.forChat(account, chat, candidates(service, fleet), region)

    /** The targets for [request], which belongs to no chat, at an ingress in [zone] of [region]. */
    fun forRequest(
        request: RequestId,
        service: ServiceName,
        fleet: FleetDocument,
        region: RegionName?,
        zone: ZoneName?,
    ): List<TargetId> = TargetRanking.forRequest(request, candidates(service, fleet), region, zone)

    private fun candidates(service: ServiceName, fleet: FleetDocument): List<Candidate> = fleet.targetsOf(service)
        .filterValues { !it.leaving }
        .map { (id, target) ->
            Candidate(
                id = id,
                weight = target.capacity.toDouble(),
                region = fleet.regionOf(target.zone),
                zone = target.zone,
            )
        }
}
