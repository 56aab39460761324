package org.cicadaarch.dispatch.capacity

/**
 * The [share] of its usual load that a target handles well, from [MIN_SHARE] to 1, and its [relativeTime], as a
 * multiple of that of the middle target of its service.
 */
data class TargetCapacity(val share: Double, val relativeTime: Double) {
    /** Whether the target gets only attempts that tell whether it has recovered. */
    val isProbed: Boolean get() = share <= MIN_SHARE

    companion object {
        /** The share of a slow target: enough to notice soon that it has recovered. */
        const val MIN_SHARE = 0.15

        /** The capacity that another router states, within what is possible. */
        fun ofStated(share: Double, relativeTime: Double) =
            TargetCapacity(share.coerceIn(MIN_SHARE, 1.0), relativeTime.coerceIn(0.0, MAX_STATED_TIME))

        private const val MAX_STATED_TIME = 100.0
    }
}
