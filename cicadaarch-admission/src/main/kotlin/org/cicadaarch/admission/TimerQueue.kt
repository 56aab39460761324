package org.cicadaarch.admission

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.Timestamp

/**
 * Attempts by the time at which they are due for a check, in buckets of [BUCKET_LENGTH]. An attempt can be scheduled
 * more than once, so the state of a due attempt decides what is to be done.
 */
data class TimerQueue(
    private val buckets: PersistentMap<Long, PersistentList<AttemptId>> = persistentMapOf(),
    private val firstOpenBucket: Long = Long.MIN_VALUE,
) {
    /** Schedules a check of [attempt] for the first bucket after [at]. */
    fun schedule(attempt: AttemptId, at: Timestamp): TimerQueue {
        val bucket = maxOf(bucketOf(at) + 1, firstOpenBucket)
        return copy(buckets = buckets.put(bucket, (buckets[bucket] ?: persistentListOf()).add(attempt)))
    }

    /** The attempts that are due at [now], possibly with duplicates. */
    fun due(now: Timestamp): List<AttemptId> = dueBuckets(now).flatMap { buckets.getValue(it) }

    /** Removes the attempts that [due] returns at [now]. */
    fun withoutDue(now: Timestamp): TimerQueue =
        TimerQueue(dueBuckets(now).fold(buckets) { remaining, bucket -> remaining.remove(bucket) }, bucketOf(now) + 1)

    private fun dueBuckets(now: Timestamp): List<Long> = buckets.keys.filter { it <= bucketOf(now) }.sorted()

    private fun bucketOf(at: Timestamp): Long = at.milliseconds.floorDiv(BUCKET_LENGTH.inWholeMilliseconds)

    private companion object {
        val BUCKET_LENGTH = 100.milliseconds
    }
}
