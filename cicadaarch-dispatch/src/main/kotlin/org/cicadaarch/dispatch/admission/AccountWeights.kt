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
        /** No account may get less than a quarter of the mean share. */
        const val MIN_WEIGHT = 0.3
    }
}
