package org.cicadaarch.dispatch.target

/**
 * The load that no target of a service should exceed.
 */
object LoadBound {
    /** Requests added to the bound, as a multiple of the mean alone is too strict when the mean is small. */
    private const val SLACK = 3.0

    /** The bound for a service whose targets hold [meanLoad] requests each on average. */
    fun of(imbalanceFactor: Double, meanLoad: Double): Double = imbalanceFactor * meanLoad + SLACK
}
