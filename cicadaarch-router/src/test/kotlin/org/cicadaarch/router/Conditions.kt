package org.cicadaarch.router

/**
 * Waits for what happens in other threads, as long as it takes up to a generous limit.
 */
object Conditions {
    private const val LIMIT_NANOSECONDS = 60_000_000_000L
    private const val POLL_MILLISECONDS = 20L

    /** Returns once [condition] holds; fails with [name] when it does not come to hold. */
    fun await(name: String, condition: () -> Boolean) {
        val end = System.nanoTime() + LIMIT_NANOSECONDS
        while (!condition()) {
            check(System.nanoTime() < end) { "never came to hold: $name" }
            Thread.sleep(POLL_MILLISECONDS)
        }
    }
}
