package org.cicadaarch.request

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.Fingerprint
import org.cicadaarch.model.Timestamp

/**
 * The attempts that lost the connection to their target, by the fingerprint of their request. Each of these requests
 * may have crashed the target.
 *
 * At most [CAPACITY] fingerprints are kept, each for [RETENTION] after its last crash. A full history drops the
 * fingerprint whose last crash is oldest.
 */
data class CrashHistory(private val records: PersistentMap<Fingerprint, CrashRecord> = persistentMapOf()) {
    /** How many attempts of requests with [fingerprint] lost the connection to their target. */
    fun crashCount(fingerprint: Fingerprint): Int = records[fingerprint]?.attempts?.size ?: 0

    /** The history with the crash of [attempt]. A crash that is reported again is counted once. */
    fun withCrash(fingerprint: Fingerprint, attempt: AttemptId, now: Timestamp): CrashHistory {
        val knownAttempts = records[fingerprint]?.attempts.orEmpty()
        return CrashHistory(withRoomForOne().put(fingerprint, CrashRecord(knownAttempts + attempt, now)))
    }

    /** The history without [fingerprint]: a request with it completed, so it does not crash its targets. */
    fun withoutFingerprint(fingerprint: Fingerprint): CrashHistory =
        if (fingerprint in records) CrashHistory(records.remove(fingerprint)) else this

    /** The history without the fingerprints whose last crash is older than [RETENTION]. */
    fun withoutExpired(now: Timestamp): CrashHistory {
        val expired = records.filterValues { now - it.lastCrashAt > RETENTION }.keys
        return if (expired.isEmpty()) this else CrashHistory(expired.fold(records) { kept, key -> kept.remove(key) })
    }

    private fun withRoomForOne(): PersistentMap<Fingerprint, CrashRecord> {
        if (records.size < CAPACITY) return records
        return records.remove(records.minBy { it.value.lastCrashAt }.key)
    }

    /** The [attempts] that lost the connection to their target, the last one at [lastCrashAt]. */
    data class CrashRecord(val attempts: Set<AttemptId>, val lastCrashAt: Timestamp)

    private companion object {
        const val CAPACITY = 1_024
        val RETENTION: Duration = 10.minutes
    }
}
