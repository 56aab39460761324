package org.cicadaarch.placement

import org.cicadaarch.model.AccountId
import org.cicadaarch.model.ChatId
import org.cicadaarch.model.RegionName
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.ZoneName

/**
 * The order in which an ingress asks for a service's targets.
 *
 * A chat's targets are ordered by weighted rendezvous hashing, first those of the ingress's region and then those of
 * other regions. All routers of a region thus find the chat's home, the first target of the order, without a shared
 * table. When a target joins and becomes the new home of a chat, the previous home is the second in the order. Requests
 * without a chat are ordered by their request ID; of the first two targets, the one in the ingress's availability zone
 * is preferred.
 */
object TargetRanking {
    /** Returns the order of targets for [chat] of [account]. */
    fun forChat(
        account: AccountId,
        chat: ChatId,
        candidates: Collection<Candidate>,
        region: RegionName?,
    ): List<TargetId> = byRegion(ranked("${account.value}/${chat.value}", candidates), region).flatten().map { it.id }

    /** Returns the order of targets for a request that does not belong to a chat. */
    fun forRequest(
        request: RequestId,
        candidates: Collection<Candidate>,
        region: RegionName?,
        zone: ZoneName?,
    ): List<TargetId> = byRegion(ranked(request.value, candidates), region)
        .flatMap { withOwnZoneFirst(it, zone) }
        .map { it.id }

    private fun ranked(key: String, candidates: Collection<Candidate>): List<Candidate> = RendezvousHash.rank(
        key = key,
        members = candidates,
        name = { it.id.value },
        weight = { it.weight * it.weightFactor },
    )

    private fun byRegion(ranked: List<Candidate>, region: RegionName?): List<List<Candidate>> =
        ranked.partition { region == null || it.region == null || it.region == region }.toList()

    private fun withOwnZoneFirst(ranked: List<Candidate>, zone: ZoneName?): List<Candidate> {
        val best = ranked.take(ZONE_PREFERENCE_DEPTH)
        return best.sortedByDescending { zone != null && it.zone == zone } + ranked.drop(ZONE_PREFERENCE_DEPTH)
    }

    private const val ZONE_PREFERENCE_DEPTH = 2
}
