package org.cicadaarch.forwarding.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.Timestamp
import org.cicadaarch.placement.RendezvousHash

/**
 * The other routers that this one knows, and the choice of those that watch the store on behalf of all.
 *
 * All routers rank the addresses that they know by the same rendezvous hash, and the first [WATCHER_COUNT] usable ones
 * watch. The directory keeps the first [MAX_CANDIDATES] in that order, so that all routers soon know the same ones, and
 * its [seeds]. A router that fails, or turns out not to watch, is skipped for a while. After [MAX_FAILURES] failures in
 * a row it is evicted, unless it is a seed, until it makes contact or [EVICTION_TIME] has passed. News of the store may
 * take [bound] to reach all routers.
 */
internal class PeerDirectory(
    private val self: RouterAddress,
    private val seeds: List<RouterAddress>,
    bound: Duration,
) {
    private val notWatchingBackoff = bound * NOT_WATCHING_BACKOFF_SHARE
    private val entries = HashMap<RouterAddress, Entry>()

    init {
        seeds.filter { it != self }.forEach { entries[it] = Entry() }
    }

    /** All known routers except this one. */
    val peers: Set<RouterAddress> get() = entries.keys

    /** Adds [peer], with which another router reports contact. */
    fun addReported(peer: RouterAddress, now: Timestamp) {
        if (peer == self) return
        val entry = entries.getOrPut(peer) { Entry() }
        if (entry.evictedUntil?.let { it <= now } == true) entries[peer] = Entry()
        trim()
    }

    /** Records a request or response from [peer]. [isWatchingStore] is null if [peer] did not state it. */
    fun recordContact(peer: RouterAddress, now: Timestamp, isWatchingStore: Boolean? = null) {
        if (peer == self) return
        val before = entries[peer] ?: Entry()
        val contacted = before.copy(lastContactAt = now, failures = 0, evictedUntil = null)
        entries[peer] = when {
            isWatchingStore == null -> contacted
            isWatchingStore -> contacted.copy(unusableUntil = null, refusals = 0)
            peer in watchers(now) -> contacted.refused(now, notWatchingBackoff)
            else -> contacted
        }
        trim()
    }

    /** Records that [peer] did not respond. */
    fun recordFailure(peer: RouterAddress, now: Timestamp) {
        val entry = entries[peer] ?: return
        val failures = entry.failures + 1
        val isEvicted = failures >= MAX_FAILURES && peer !in seeds
        entries[peer] = entry.copy(
            failures = failures,
            unusableUntil = now + FAILURE_BACKOFF,
            evictedUntil = if (isEvicted) now + EVICTION_TIME else null,
        )
    }

    /** The routers that should watch the store, as far as this one knows. It may be one of them. */
    fun watchers(now: Timestamp): List<RouterAddress> =
        candidates(now).filter { it == self || entries.getValue(it).isUsable(now) }.take(WATCHER_COUNT)

    /** The routers that may watch the store, by rank. The first usable ones do; the others replace those that fail. */
    fun candidates(now: Timestamp): List<RouterAddress> =
        ranked(entries.filterValues { it.evictedUntil.let { until -> until == null || until <= now } }.keys + self)
            .take(MAX_CANDIDATES)

    /** The routers to report to others: those with recent contact, by rank. */
    fun live(now: Timestamp): List<RouterAddress> = ranked(entries.filterValues { it.isLive(now) }.keys)

    private fun trim() {
        if (entries.size <= MAX_ENTRIES) return
        val kept = ranked(entries.filterValues { it.evictedUntil == null }.keys).take(MAX_CANDIDATES) + seeds
        entries.keys.retainAll(kept.toSet())
    }

    private fun ranked(routers: Collection<RouterAddress>): List<RouterAddress> =
        RendezvousHash.rank(key = RANK_KEY, members = routers, name = { it.toString() })

    private data class Entry(
        val lastContactAt: Timestamp? = null,
        val failures: Int = 0,
        val unusableUntil: Timestamp? = null,
        val evictedUntil: Timestamp? = null,
        val refusals: Int = 0,
    ) {
        /** The entry after the router has said that it does not watch, though this one relied on that. */
        fun refused(now: Timestamp, firstBackoff: Duration): Entry {
            val backoff = firstBackoff * (1 shl refusals.coerceAtMost(MAX_BACKOFF_DOUBLINGS))
            return copy(unusableUntil = now + backoff, refusals = refusals + 1)
        }

        fun isUsable(now: Timestamp): Boolean = unusableUntil.let { it == null || it <= now }

        fun isLive(now: Timestamp): Boolean = lastContactAt.let { it != null && now - it < LIVENESS_TIMEOUT }
    }

    companion object {
        /**
         * Number of routers that watch the store: several in each availability zone, whatever the size of the fleet.
         */
        const val WATCHER_COUNT = 8

        /** Number of routers that may come to watch: enough that a store which rejects some of them serves another. */
        const val MAX_CANDIDATES = 24
        private const val RANK_KEY = "store-watchers"
        private const val MAX_ENTRIES = 64
        private const val MAX_FAILURES = 3

        /** Share of the time that news may take. Short: a router that has just taken over may not watch yet. */
        private const val NOT_WATCHING_BACKOFF_SHARE = 0.15
        private const val MAX_BACKOFF_DOUBLINGS = 4
        private val FAILURE_BACKOFF = 3.seconds
        private val EVICTION_TIME = 60.seconds

        /**
         * A router without contact for this long is not reported to others, so that all of them forget a lost router.
         */
        private val LIVENESS_TIMEOUT = 5.seconds
    }
}
