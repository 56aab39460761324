package org.cicadaarch.dispatch.admission

import org.cicadaarch.model.AccountId

/**
 * The weights of accounts in a queue, in proportion to their [usual] work, whose mean is [mean].
 */
class AccountWeights(private val usual: Map<AccountId, Double>, private val mean: Double) {
    /** The weight of [account]; 1 is the mean. */
    fun of(account: AccountId): Double {
        if (mean <= 0.0) return 1.0
        return ((usual[account] ?: 0.0) / mean).coerceAtLeast(MIN_WEIGHT)
    }

    private companion object {
        /** Above the required quarter of the mean share, as not all that is sent is answered in time. */
        const val MIN_WEIGHT = 0.3
    }
}
