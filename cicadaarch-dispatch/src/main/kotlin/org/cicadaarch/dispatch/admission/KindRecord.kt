package org.cicadaarch.dispatch.admission

import org.cicadaarch.model.Timestamp

/**
 * What arrived and was sent of one kind of requests, and of the large ones among them. [meanSize] is a moving average
 * of the sizes, [largeSize] an estimate of the size that a tenth of them exceed; both 0 before a request stated its
 * work.
 */
data class KindRecord(
    val served: ServedRatio = ServedRatio(),
    val servedLarge: ServedRatio = ServedRatio(),
    val meanSize: Double = 0.0,
    private val largeSize: Double = 0.0,
) {
    /** Whether a request of [size] is among the largest tenth. */
    fun isLarge(size: Double): Boolean = size > 0 && size > largeSize

    /** A copy that counts a request of [size], 0 if unknown, that arrived at [now]. */
    fun withArrival(size: Double, now: Timestamp): KindRecord {
        val counted = copy(
            served = served.withArrival(now),
            servedLarge = if (isLarge(size)) servedLarge.withArrival(now) else servedLarge,
        )
        return if (size > 0) counted.withSize(size) else counted
    }

    /** A copy that counts a request of [size] that was sent at [now]. */
    fun withSent(size: Double, now: Timestamp): KindRecord = copy(
        served = served.withSent(now),
        servedLarge = if (isLarge(size)) servedLarge.withSent(now) else servedLarge,
    )

    private fun withSize(size: Double): KindRecord {
        if (meanSize == 0.0) return copy(meanSize = size, largeSize = size)
        val step = largeSize * QUANTILE_STEP
        return copy(
            meanSize = meanSize + (size - meanSize) * MEAN_WEIGHT,
            largeSize = largeSize + if (size > largeSize) step * (1 - LARGE_SHARE) else -step * LARGE_SHARE,
        )
    }

    private companion object {
        const val MEAN_WEIGHT = 0.02

        /** The share of the requests of a kind that counts as large. */
        const val LARGE_SHARE = 0.1

        /** Relative step of the running quantile: a request above it moves it by so much more than one below. */
        const val QUANTILE_STEP = 0.05
    }
}
