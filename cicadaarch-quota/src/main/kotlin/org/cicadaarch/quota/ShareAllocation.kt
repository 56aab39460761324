package org.cicadaarch.quota

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.Timestamp

/**
 * The allocation of an account's limits at their owner: the demand of each router and the share that it holds.
 */
data class ShareAllocation(private val holders: PersistentMap<RouterId, Holder> = persistentMapOf()) {
    /** The number of routers that have requested a share. */
    val size: Int get() = holders.size

    /**
     * Allocates a share of [limit] to [router] for its [demand] until [expiresAt]. The shares held at any time never
     * add up to more than [limit]: a share grows only by what other routers no longer hold.
     */
    fun allocate(router: RouterId, demand: QuotaAmounts, limit: QuotaAmounts, expiresAt: Timestamp): ShareAllocation {
        val others = holders.remove(router)
        val allocated = others.values.fold(QuotaAmounts.ZERO) { sum, other -> sum + other.share }
        val fair = fairShare(demand, others.values.map { it.demand }, limit)
        val available = limit.combine(allocated) { total, taken ->
            if (total >= QuotaAmounts.UNLIMITED) total else total - taken
        }
        val share = fair.combine(available, ::minOf).combine(QuotaAmounts.ZERO, ::maxOf)
        return ShareAllocation(others.put(router, Holder(demand, share, expiresAt)))
    }

    /** The share held by [router]. */
    fun shareOf(router: RouterId): QuotaAmounts = holders[router]?.share ?: QuotaAmounts.ZERO

    /** Returns the allocation without shares that have expired at [now]. */
    fun withoutExpired(now: Timestamp): ShareAllocation {
        val expired = holders.filterValues { it.expiresAt <= now }.keys
        return if (expired.isEmpty()) {
            this
        } else {
            ShareAllocation(
                expired.fold(holders) { remaining, router ->
                    remaining.remove(router)
                },
            )
        }
    }

    private fun fairShare(demand: QuotaAmounts, others: List<QuotaAmounts>, limit: QuotaAmounts) = QuotaAmounts(
        requests = fairShare(demand.requests, others.map { it.requests }, limit.requests),
        tokens = fairShare(demand.tokens, others.map { it.tokens }, limit.tokens),
        concurrent = fairShare(demand.concurrent, others.map { it.concurrent }, limit.concurrent),
    )

    /**
     * Divides the limit in proportion to demand. Unused capacity is divided equally, with one part kept for the next
     * router.
     */
    private fun fairShare(demand: Double, others: List<Double>, limit: Double): Double {
        if (limit >= QuotaAmounts.UNLIMITED) return limit
        val total = demand + others.sum()
        val spare = maxOf(0.0, limit - total) / (others.size + 2)
        return if (total <= limit) demand + spare else limit * demand / total
    }

    /** The demand and the share of one router. */
    data class Holder(val demand: QuotaAmounts, val share: QuotaAmounts, val expiresAt: Timestamp)
}
