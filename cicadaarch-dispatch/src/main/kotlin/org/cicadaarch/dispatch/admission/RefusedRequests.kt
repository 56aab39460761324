package org.cicadaarch.dispatch.admission

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.dispatch.quarantine.RequestTrait
import org.cicadaarch.dispatch.request.DispatchRequest
import org.cicadaarch.model.Timestamp

/**
 * The latest requests that were refused for want of capacity and have not returned, by account, path and body. Equal
 * requests of several clients of an account are not told apart.
 */
data class RefusedRequests(private val byTrait: PersistentMap<RequestTrait, RefusedRequest> = persistentMapOf()) {
    /** What is known of [request] from its refusal, or null if it was not refused lately. */
    fun of(request: DispatchRequest, now: Timestamp): RefusedRequest? =
        traitOf(request)?.let { byTrait[it] }?.takeIf { !it.isOver(now) }

    /** A copy with [refused] as the refusal of [request]. */
    fun with(request: DispatchRequest, refused: RefusedRequest): RefusedRequests {
        val trait = traitOf(request) ?: return this
        val updated = byTrait.remove(trait).put(trait, refused)
        return RefusedRequests(if (updated.size > MAX_REQUESTS) updated.remove(updated.keys.first()) else updated)
    }

    /** A copy without the refusal of [request]. */
    fun without(request: DispatchRequest): RefusedRequests =
        traitOf(request)?.let { RefusedRequests(byTrait.remove(it)) } ?: this

    /** The cost of the requests that will return after [now] and go before [request]. */
    fun costAhead(request: DispatchRequest, now: Timestamp): Double = byTrait.values
        .filter { it.service == request.service && it.priority <= request.priority && it.returnAt > now }
        .sumOf { it.cost }

    private fun traitOf(request: DispatchRequest): RequestTrait? = request.traits.firstOrNull { it.isWholeRequest }

    private companion object {
        const val MAX_REQUESTS = 512
    }
}
