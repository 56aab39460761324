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
data class CrashHistory(private val records: PersistentMap<Fingerprint, CrashRecord> = persistentMapOf()) {
    /** The attempts of requests with [fingerprint] after which a target's connection broke. */
    fun crashCount(fingerprint: Fingerprint): Int = records[fingerprint]?.attempts?.size ?: 0

    /** The table after [attempt] was seen to end with its target's connection; hearing it again changes nothing. */
    fun withCrash(fingerprint: Fingerprint, attempt: AttemptId, now: Timestamp): CrashHistory {
        val known = records[fingerprint]?.attempts.orEmpty()
        return CrashHistory(withRoomForOne().put(fingerprint, CrashRecord(known + attempt, now)))
    }

    /** The table after a request with [fingerprint] completed, which clears it. */
    fun withoutFingerprint(fingerprint: Fingerprint): CrashHistory =
        if (fingerprint in records) CrashHistory(records.remove(fingerprint)) else this

    /** The table without what is older than the retention. */
    fun withoutExpired(now: Timestamp): CrashHistory {
        val old = records.filterValues { now - it.lastCrashAt > RETENTION }.keys
        return if (old.isEmpty()) this else CrashHistory(old.fold(records) { kept, key -> kept.remove(key) })
    }

    private fun withRoomForOne(): PersistentMap<Fingerprint, CrashRecord> {
        if (records.size < CAPACITY) return records
        return records.remove(records.minBy { it.value.lastCrashAt }.key)
    }

    /** The [attempts] that ended with their target's connection, the last one at [lastCrashAt]. */
    data class CrashRecord(val attempts: Set<AttemptId>, val lastCrashAt: Timestamp)

    private companion object {
        const val CAPACITY = 1_024
        val RETENTION: Duration = 10.minutes
    }
}
