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
 * The order in which a chat's targets are asked, best first, so that a returning chat finds its earlier work.
 */
object TargetPreferences {
    /** The order for [chat] of [account] at an ingress in [region]. */
    fun forChat(
        account: AccountId,
        service: ServiceName,
        chat: ChatId,
        fleet: FleetDocument,
        region: RegionName?,
    ): List<TargetId> = TargetRanking.forChat(account, chat, candidates(service, fleet), region)

    /** The order for [request], which belongs to no chat, at an ingress in [zone] of [region]. */
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
