package org.cicadaarch.experiment.ledger

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.ledger.LedgerSettings

/**
 * A way of writing claims that the experiment compares.
 */
internal enum class LedgerPolicy(val label: String, val settings: LedgerSettings) {
    ONE_PER_WRITE(
        label = "one record per write",
        settings = LedgerSettings(
            writeInterval = Duration.ZERO,
            reportDelay = Duration.ZERO,
            maximumSegmentRecords = 1,
        ),
    ),
    GROUPED_UNPACED(
        label = "grouped, no interval",
        settings = LedgerSettings(writeInterval = Duration.ZERO),
    ),
    GROUPED_50(
        label = "grouped, 50 ms",
        settings = LedgerSettings(writeInterval = 50.milliseconds),
    ),
    GROUPED_200(
        label = "grouped, 200 ms",
        settings = LedgerSettings(),
    ),
    GROUPED_500(
        label = "grouped, 500 ms",
        settings = LedgerSettings(writeInterval = 500.milliseconds),
    ),
}
