package org.cicadaarch.experiment.demonstration

import org.HdrHistogram.Histogram
import org.cicadaarch.model.Outcome
import org.cicadaarch.model.ServiceName
import org.cicadaarch.testkit.RunRecord

/**
 * The table at the end of a demonstration, judged from outside: what callers saw against what targets ran.
 */
internal class DemonstrationReport(
    private val operations: List<Operation>,
    private val stillOpen: Int,
    private val runs: List<RunRecord>,
    private val skew: Map<ServiceName, Double>,
    private val controlBytesPerSecond: Map<String, Double>,
) {
    private val chats = operations.filter { it.kind == OperationKind.CHAT }
    private val bookings = operations.filter { it.kind == OperationKind.BOOKING }
    private val runsByKey = runs.filter { it.idempotencyKey != null }.groupBy { it.idempotencyKey }

    /** Keys that ran more than once. */
    val doubled: Int = runsByKey.count { it.value.size > 1 }

    /** Operations without an outcome, and bookings said to be completed that no target ran. */
    val lost: Int = stillOpen + operations.count { it.outcome == null } +
        bookings.count { it.outcome == Outcome.COMPLETED && it.key !in runsByKey }

    /** Bookings said to be not run that a target ran. */
    val falselyRefused: Int = bookings.count { it.outcome == Outcome.NOT_RUN && it.key in runsByKey }

    /** Answers said to be completed that are not whole, or are another request's. */
    val notWhole: Int = operations.count { it.outcome == Outcome.COMPLETED && !it.isWhole }

    /** Prints the table. */
    fun print() {
        val firstBytes = Histogram(SIGNIFICANT_DIGITS)
        chats.mapNotNull { it.firstByteMilliseconds }.forEach(firstBytes::recordValue)
        row("chat turns / bookings", "${chats.size} / ${bookings.size}")
        row("answers whole", count(Outcome.COMPLETED).toString())
        row("answers not whole", notWhole.toString())
        row("late (first token after $LATE_MILLISECONDS ms)", firstBytes.late().toString())
        row(
            "first token p50 / p95 / p99",
            PERCENTILES.joinToString(" / ") {
                "${firstBytes.getValueAtPercentile(it)} ms"
            },
        )
        row("refused as not-run, truly", (count(Outcome.NOT_RUN) - falselyRefused).toString())
        row("refused as not-run, falsely", falselyRefused.toString())
        row("may-have-run / already-run", "${count(Outcome.MAY_HAVE_RUN)} / ${count(Outcome.ALREADY_RUN)}")
        row("sent again by callers", operations.sumOf { it.sends - 1 }.toString())
        row("doubled", doubled.toString())
        row("lost", lost.toString())
        row("cache reuse of returning turns", "%.1f %%".format(cacheReuse() * PERCENT))
        skew.forEach { (service, value) -> row("skew of $service (max over mean)", "%.2f".format(value)) }
        row("control bytes per router per second", "%.0f".format(controlBytesPerSecond.values.sum()))
        controlBytesPerSecond.forEach { (kind, value) -> row("  of which $kind", "%.0f".format(value)) }
    }

    private fun Histogram.late(): Long =
        getCountBetweenValues(LATE_MILLISECONDS + 1, maxValue.coerceAtLeast(LATE_MILLISECONDS + 1))

    private fun cacheReuse(): Double {
        val returning = chats.filter { it.isReturning && it.outcome == Outcome.COMPLETED }
        return returning.sumOf { it.cachedTokens }.toDouble() / returning.sumOf { it.promptTokens }.coerceAtLeast(1)
    }

    private fun count(outcome: Outcome): Int = operations.count { it.outcome == outcome }

    private fun row(name: String, value: String) = println(name.padEnd(NAME_WIDTH) + value)

    private companion object {
        const val SIGNIFICANT_DIGITS = 3
        const val LATE_MILLISECONDS = 300L
        const val PERCENT = 100.0
        const val NAME_WIDTH = 44
        val PERCENTILES = listOf(50.0, 95.0, 99.0)
    }
}
