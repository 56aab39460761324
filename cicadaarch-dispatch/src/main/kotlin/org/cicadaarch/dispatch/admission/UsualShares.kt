package org.cicadaarch.dispatch.admission

import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.Timestamp

/**
 * The work of each account that was sent to targets over the last minutes while no request had to wait, from which the
 * weights of the accounts follow. So neither more demand nor more retries in an overload raise a weight.
 */
data class UsualShares(private val work: PersistentMap<AccountId, DecayingCount> = persistentMapOf()) {
    /** The weights of the accounts at [now], relative to their mean. */
    fun weights(now: Timestamp): AccountWeights {
        val usual = work.mapValues { it.value.at(now, MEMORY) }
        return AccountWeights(usual, mean = usual.values.sum() / usual.size.coerceAtLeast(1))
    }

    /** A copy that counts [amount] of work of [account] that was sent at [now]. */
    fun plus(account: AccountId, amount: Double, now: Timestamp): UsualShares {
        val before = work[account] ?: DecayingCount()
        val updated = work.remove(account).put(account, before.plus(amount, now, MEMORY))
        return UsualShares(if (updated.size > MAX_ACCOUNTS) updated.remove(updated.keys.first()) else updated)
    }

    private companion object {
        /** A surge of some minutes must not become the usual load. */
        val MEMORY = 300.seconds
        const val MAX_ACCOUNTS = 256
    }
}
