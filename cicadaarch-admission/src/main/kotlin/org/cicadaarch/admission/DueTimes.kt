package org.cicadaarch.admission

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.Timestamp

/**
 * Attempts by the time at which they need a look, in buckets of a tick's length. An attempt may stand more than once;
 * whoever takes it out checks whether it is really due.
 */
data class DueTimes(
    private val buckets: PersistentMap<Long, PersistentList<AttemptId>> = persistentMapOf(),
    private val next: Long = Long.MIN_VALUE,
) {
    /** Adds a look at [attempt] at or just after [at]. */
    fun plus(attempt: AttemptId, at: Timestamp): DueTimes {
        val bucket = maxOf(bucketOf(at) + 1, next)
        return copy(buckets = buckets.put(bucket, (buckets[bucket] ?: persistentListOf()).add(attempt)))
    }

    /** The attempts whose time has come by [now], with duplicates. */
    fun due(now: Timestamp): List<AttemptId> = dueBuckets(now).flatMap { buckets.getValue(it) }

    /** Forgets what [due] gave at [now]. */
    fun after(now: Timestamp): DueTimes =
        DueTimes(dueBuckets(now).fold(buckets) { left, bucket -> left.remove(bucket) }, bucketOf(now) + 1)

    private fun dueBuckets(now: Timestamp): List<Long> = buckets.keys.filter { it <= bucketOf(now) }.sorted()

    private fun bucketOf(at: Timestamp): Long = at.milliseconds.floorDiv(BUCKET.inWholeMilliseconds)

    private companion object {
        val BUCKET = 100.milliseconds
    }
}
