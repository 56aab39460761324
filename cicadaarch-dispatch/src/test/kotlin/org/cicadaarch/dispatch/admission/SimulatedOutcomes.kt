package org.cicadaarch.dispatch.admission

/**
 * How many requests of a kind arrived, were answered in time, and were sent; [refusedEarly] of the refusals came at
 * once.
 */
internal class SimulatedOutcomes {
    var arrived = 0
    var inTime = 0
    var sent = 0
    var refusals = 0
    var refusedEarly = 0
    var largeArrived = 0
    var largeSent = 0

    val inTimeShare: Double get() = inTime.toDouble() / arrived
    val sentShare: Double get() = sent.toDouble() / arrived
    val largeSentShare: Double get() = largeSent.toDouble() / largeArrived

    companion object {
        /** The outcomes of several runs together. */
        fun sum(runs: List<SimulatedOutcomes>) = SimulatedOutcomes().also { total ->
            total.arrived = runs.sumOf { it.arrived }
            total.inTime = runs.sumOf { it.inTime }
            total.sent = runs.sumOf { it.sent }
            total.refusals = runs.sumOf { it.refusals }
            total.refusedEarly = runs.sumOf { it.refusedEarly }
            total.largeArrived = runs.sumOf { it.largeArrived }
            total.largeSent = runs.sumOf { it.largeSent }
        }
    }
}
