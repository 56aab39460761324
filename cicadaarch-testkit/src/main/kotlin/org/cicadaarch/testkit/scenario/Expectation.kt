package org.cicadaarch.testkit.scenario

/**
 * A condition on [measure] when the scenario is over.
 */
data class Expectation(val measure: Measure, val bound: Bound, val figure: Double) {
    /** Tells whether the [measured] figure meets the condition. */
    fun holds(measured: Double): Boolean = when (bound) {
        Bound.EXACTLY -> measured == figure
        Bound.AT_MOST -> measured <= figure
        Bound.AT_LEAST -> measured >= figure
    }

    /** An [expectation] that the [measured] figure does not meet. */
    data class Failure(val expectation: Expectation, val measured: Double)

    /** How the measure relates to the figure; [label] is its word in the text form. */
    enum class Bound(val label: String) {
        EXACTLY("exactly"),
        AT_MOST("at-most"),
        AT_LEAST("at-least"),
    }

    override fun toString(): String = "expect ${measure.label} ${bound.label} $figure"
}
