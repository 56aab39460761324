package org.cicadaarch.testkit

import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Repeats [action] until its result satisfies [condition] and returns that; fails after half a minute. */
internal fun <T> eventually(action: () -> T, condition: (T) -> Boolean): T {
    val deadline = TimeSource.Monotonic.markNow() + 30.seconds
    while (true) {
        val result = action()
        if (condition(result)) return result
        check(deadline.hasNotPassedNow()) { "The condition did not come true; last seen: $result" }
        Thread.sleep(POLL_INTERVAL_MILLISECONDS)
    }
}

private const val POLL_INTERVAL_MILLISECONDS = 20L
