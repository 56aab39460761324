package org.cicadaarch.quota

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.Timestamp

/**
 * An account's limits at their owner: what each router wants and what it was lent.
 */
data class OwnedQuota(private val borrowers: PersistentMap<RouterId, Borrower> = persistentMapOf()) {
    /** The routers that hold or want a share. */
    val size: Int get() = borrowers.size

    /**
     * Lends [router] its share for a [wanted] amount until [until]. The shares that are lent at one time never add up
     * to more than [limit]: a share grows only by what others have given back.
     */
    fun lent(router: RouterId, wanted: QuotaAmounts, limit: QuotaAmounts, until: Timestamp): OwnedQuota {
        val others = borrowers.remove(router)
        val lent = others.values.fold(QuotaAmounts.NONE) { sum, other -> sum + other.share }
        val fair = fairShare(wanted, others.values.map { it.wanted }, limit)
        val free = limit.combine(lent) { whole, taken -> if (whole >= QuotaAmounts.UNLIMITED) whole else whole - taken }
        val share = fair.combine(free, ::minOf).combine(QuotaAmounts.NONE, ::maxOf)
        return OwnedQuota(others.put(router, Borrower(wanted, share, until)))
    }

    /** The share of [router]. */
    fun shareOf(router: RouterId): QuotaAmounts = borrowers[router]?.share ?: QuotaAmounts.NONE

    /** The table without shares that lapsed before [now]. */
    fun withoutLapsed(now: Timestamp): OwnedQuota {
        val lapsed = borrowers.filterValues { it.until <= now }.keys
        return if (lapsed.isEmpty()) {
            this
        } else {
            OwnedQuota(
                lapsed.fold(borrowers) { left, router ->
                    left.remove(router)
                },
            )
        }
    }

    private fun fairShare(wanted: QuotaAmounts, others: List<QuotaAmounts>, limit: QuotaAmounts) = QuotaAmounts(
        requests = fairShare(wanted.requests, others.map { it.requests }, limit.requests),
        tokens = fairShare(wanted.tokens, others.map { it.tokens }, limit.tokens),
        concurrent = fairShare(wanted.concurrent, others.map { it.concurrent }, limit.concurrent),
    )

    /** In proportion to demand; what nobody wants is divided equally, with a part kept for the next borrower. */
    private fun fairShare(wanted: Double, others: List<Double>, limit: Double): Double {
        if (limit >= QuotaAmounts.UNLIMITED) return limit
        val total = wanted + others.sum()
        val spare = maxOf(0.0, limit - total) / (others.size + 2)
        return if (total <= limit) wanted + spare else limit * wanted / total
    }

    /** What one router wants and holds. */
    data class Borrower(val wanted: QuotaAmounts, val share: QuotaAmounts, val until: Timestamp)
}
