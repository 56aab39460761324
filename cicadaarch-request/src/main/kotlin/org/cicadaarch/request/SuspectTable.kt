package org.cicadaarch.request

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.Fingerprint
import org.cicadaarch.model.Timestamp

/**
 * The requests, by fingerprint, whose attempts ended with the target's connection: each may be what crashed the target.
 *
 * At most [CAPACITY] fingerprints are kept, each for [RETENTION] after its last crash.
 */
data class SuspectTable(private val suspects: PersistentMap<Fingerprint, Suspect> = persistentMapOf()) {
    /** The attempts of requests with [fingerprint] after which a target's connection broke. */
    fun crashes(fingerprint: Fingerprint): Int = suspects[fingerprint]?.attempts?.size ?: 0

    /** The table after [attempt] was seen to end with its target's connection; hearing it again changes nothing. */
    fun observed(fingerprint: Fingerprint, attempt: AttemptId, now: Timestamp): SuspectTable {
        val known = suspects[fingerprint]?.attempts.orEmpty()
        return SuspectTable(withRoom().put(fingerprint, Suspect(known + attempt, now)))
    }

    /** The table after a request with [fingerprint] completed, which clears it. */
    fun cleared(fingerprint: Fingerprint): SuspectTable =
        if (fingerprint in suspects) SuspectTable(suspects.remove(fingerprint)) else this

    /** The table without what is older than the retention. */
    fun expired(now: Timestamp): SuspectTable {
        val old = suspects.filterValues { now - it.lastCrashAt > RETENTION }.keys
        return if (old.isEmpty()) this else SuspectTable(old.fold(suspects) { rest, key -> rest.remove(key) })
    }

    private fun withRoom(): PersistentMap<Fingerprint, Suspect> {
        if (suspects.size < CAPACITY) return suspects
        return suspects.remove(suspects.minBy { it.value.lastCrashAt }.key)
    }

    /** The [attempts] that ended with their target's connection, the last one at [lastCrashAt]. */
    data class Suspect(val attempts: Set<AttemptId>, val lastCrashAt: Timestamp)

    private companion object {
        const val CAPACITY = 1_024
        val RETENTION: Duration = 10.minutes
    }
}
