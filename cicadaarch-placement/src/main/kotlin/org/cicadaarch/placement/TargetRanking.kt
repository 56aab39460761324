package org.cicadaarch.placement

import org.cicadaarch.model.AccountId
import org.cicadaarch.model.ChatId
import org.cicadaarch.model.RegionName
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.ZoneName

/**
 * The order in which an ingress asks a service's targets.
 *
 * A chat's order is weighted rendezvous hashing over the targets of the ingress's region, then those of other regions,
 * so that every router of a region finds the chat's home without a table. When a target joins, the earlier home of a
 * moved chat is its next choice. A request without a chat is spread by its own key, and of its two best targets the one
 * in the ingress's availability zone goes first.
 */
object TargetRanking {
    /** The order for [chat] of [account]. */
    fun forChat(
        account: AccountId,
        chat: ChatId,
        candidates: Collection<Candidate>,
        region: RegionName?,
    ): List<TargetId> = byRegion(ranked("${account.value}/${chat.value}", candidates), region).flatten().map { it.id }

    /** The order for a request that belongs to no chat. */
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
