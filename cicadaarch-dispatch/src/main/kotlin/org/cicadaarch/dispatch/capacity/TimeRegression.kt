package org.cicadaarch.dispatch.capacity

/**
 * A linear regression of response times in milliseconds on a number of tokens, in which older samples lose weight.
 */
data class TimeRegression(
    private val weight: Double = 0.0,
    private val tokens: Double = 0.0,
    private val time: Double = 0.0,
    private val squaredTokens: Double = 0.0,
    private val tokensTime: Double = 0.0,
) {
    /** The time for [count] tokens; null before [MIN_SAMPLES] samples. */
    fun predict(count: Double): Double? {
        if (weight < MIN_SAMPLES) return null
        val meanTokens = tokens / weight
        val meanTime = time / weight
        val variance = squaredTokens / weight - meanTokens * meanTokens
        val covariance = tokensTime / weight - meanTokens * meanTime
        val slope = if (variance > MIN_VARIANCE) covariance / variance else 0.0
        val maxSlope = if (meanTokens > 0) meanTime / meanTokens else 0.0
        return meanTime + slope.coerceIn(0.0, maxSlope) * (count - meanTokens)
    }

    /** A copy with a sample. */
    fun with(count: Double, milliseconds: Double) = TimeRegression(
        weight = weight * KEPT + 1,
        tokens = tokens * KEPT + count,
        time = time * KEPT + milliseconds,
        squaredTokens = squaredTokens * KEPT + count * count,
        tokensTime = tokensTime * KEPT + count * milliseconds,
    )

    private companion object {
        const val MIN_SAMPLES = 2.5
        const val MIN_VARIANCE = 1.0

        /** The weight that earlier samples keep at each new one; slow targets must not become what is expected. */
        const val KEPT = 0.98
    }
}
