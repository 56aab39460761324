package org.cicadaarch.testkit

import kotlin.random.Random

/**
 * The cache events that an engine reports: a share of [gapShare] is left out, chosen by [seed].
 */
internal class CacheEventLog(private val gapShare: Double, seed: Long) {
    private val random = Random(seed)
    private val reported = ArrayDeque<CacheEvent>()
    private var lastSequence = 0L

    /** Numbers a change; returns null when it is to be left out. */
    fun next(kind: CacheEvent.Kind, prefix: CachePrefix): CacheEvent? {
        lastSequence++
        return CacheEvent(lastSequence, kind, prefix.hash, prefix.tokens).takeUnless { random.nextDouble() < gapShare }
    }

    /** Makes [event] visible. */
    fun report(event: CacheEvent) {
        reported += event
        if (reported.size > MAXIMUM_EVENTS) reported.removeFirst()
    }

    /** The visible events after [sequence]. */
    fun after(sequence: Long): List<CacheEvent> = reported.filter { it.sequence > sequence }

    private companion object {
        const val MAXIMUM_EVENTS = 100_000
    }
}
