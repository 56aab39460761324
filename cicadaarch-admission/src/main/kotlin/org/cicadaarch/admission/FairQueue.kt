package org.cicadaarch.admission

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.AttemptId

/**
 * A target's queue, shared among client accounts by start-time fair queuing ([FairShares]): the account with the lowest
 * start tag is served next, and each grant charges its account.
 */
data class FairQueue(
    val entries: PersistentMap<AttemptId, QueuedRequest> = persistentMapOf(),
    private val accounts: PersistentMap<AccountId, AccountQueue> = persistentMapOf(),
    private val shares: FairShares = FairShares(),
) {
    /** The number of waiting requests. */
    val size: Int get() = entries.size

    /** Whether no request is waiting. */
    val isEmpty: Boolean get() = entries.isEmpty()

    /** Adds [request] after the requests of the same account and priority. */
    fun plus(request: QueuedRequest): FairQueue {
        val account = request.account
        val queue = accounts[account] ?: AccountQueue()
        return copy(
            entries = entries.put(request.attempt, request),
            accounts = accounts.put(account, queue.plus(request.attempt, request.demand.priority)),
        )
    }

    /** Removes [attempt] without charging its account. */
    fun minus(attempt: AttemptId): FairQueue {
        val request = entries[attempt] ?: return this
        val account = request.account
        val queue = accounts.getValue(account).minus(attempt, request.demand.priority)
        return copy(
            entries = entries.remove(attempt),
            accounts = if (queue.size == 0) accounts.remove(account) else accounts.put(account, queue),
        )
    }

    /** The request to serve next, or null when none is waiting. */
    fun first(): QueuedRequest? = accounts.keys
        .minWithOrNull(compareBy<AccountId> { shares.startTag(it) }.thenBy { it })
        ?.let { accounts.getValue(it).first() }
        ?.let { entries.getValue(it) }

    /**
     * The request to evict from a full queue in favour of a new one of [account]: the last request of the account that
     * has the most waiting requests relative to its weight. Null when that account does not exceed the relative number
     * of [account] by more than one.
     */
    fun evictionCandidate(account: AccountId, weight: (AccountId) -> Int): QueuedRequest? {
        val share = { other: AccountId -> (accounts[other]?.size ?: 0).toDouble() / weight(other) }
        val largest = accounts.keys.maxWithOrNull(compareBy<AccountId> { share(it) }.thenBy { it })
        return largest?.takeIf { share(it) > share(account) + 1.0 }
            ?.let { accounts.getValue(it).last() }
            ?.let { entries.getValue(it) }
    }

    /** Charges [account], which has [weight], for [work] that starts now. */
    fun charge(account: AccountId, work: Double, weight: Int): FairQueue {
        val firstStart = if (accounts.isEmpty()) shares.virtualTime else shares.startTag(account)
        return copy(shares = shares.charge(account, work, weight.toDouble(), firstStart))
    }

    /**
     * The number of requests that would be served before a new request of [account], if each account is served in
     * proportion to its weight.
     */
    fun requestsAhead(account: AccountId, weight: (AccountId) -> Int): Int {
        val own = accounts[account]?.size ?: 0
        val rounds = (own + 1.0) / weight(account)
        return own + accounts.entries.sumOf { (other, queue) ->
            if (other == account) 0 else minOf(queue.size, (rounds * weight(other)).toInt())
        }
    }
}
