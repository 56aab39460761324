package org.cicadaarch.admission

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.AccountId

/**
 * The accounting of start-time fair queuing (Goyal, Vin and Cheng, 1996): how far each account is ahead of its share.
 *
 * Work advances the finish tag of its account by the work divided by the account's weight. The account with the lowest
 * start tag is entitled to be served next. Tags up to [virtualTime] have no effect; they are
 * dropped once there are more than [PRUNE_TAGS_ABOVE].
 */
data class FairShares(
    private val finishTags: PersistentMap<AccountId, Double> = persistentMapOf(),
    val virtualTime: Double = 0.0,
) {
    /** The virtual time at which the next work of [account] starts. */
    fun startTag(account: AccountId): Double = maxOf(virtualTime, finishTags[account] ?: virtualTime)

    /**
     * Charges [account], which has [weight], for [work]. [firstStart] is the lowest start tag among the accounts that
     * wait, to which the virtual time advances.
     */
    fun charge(account: AccountId, work: Double, weight: Double, firstStart: Double): FairShares {
        val time = maxOf(virtualTime, firstStart)
        val tags = finishTags.put(account, startTag(account) + work / weight)
        return FairShares(if (tags.size > PRUNE_TAGS_ABOVE) withoutPassed(tags, time) else tags, time)
    }

    private fun withoutPassed(tags: PersistentMap<AccountId, Double>, time: Double) =
        tags.entries.fold(tags) { remaining, (account, tag) ->
            if (tag <= time) remaining.remove(account) else remaining
        }

    private companion object {
        const val PRUNE_TAGS_ABOVE = 64
    }
}
