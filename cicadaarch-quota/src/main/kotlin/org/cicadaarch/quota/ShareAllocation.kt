package org.cicadaarch.quota

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.Timestamp

/**
 * An account's limits at their owner: what each router wants and what it was lent.
 */
data class ShareAllocation(private val holders: PersistentMap<RouterId, Holder> = persistentMapOf()) {
    /** The routers that hold or want a share. */
    val size: Int get() = holders.size

    /**
     * Lends [router] its share for a [wanted] amount until [until]. The shares that are lent at one time never add up
     * to more than [limit]: a share grows only by what others have given back.
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

    /** The share of [router]. */
    fun shareOf(router: RouterId): QuotaAmounts = holders[router]?.share ?: QuotaAmounts.ZERO

    /** The table without shares that expired before [now]. */
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

    /** In proportion to demand; what nobody wants is divided equally, with a part kept for the next borrower. */
    private fun fairShare(demand: Double, others: List<Double>, limit: Double): Double {
        if (limit >= QuotaAmounts.UNLIMITED) return limit
        val total = demand + others.sum()
        val spare = maxOf(0.0, limit - total) / (others.size + 2)
        return if (total <= limit) demand + spare else limit * demand / total
    }

    /** What one router wants and holds. */
    data class Holder(val demand: QuotaAmounts, val share: QuotaAmounts, val expiresAt: Timestamp)
}
