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
    GROUPED_PACED(
        label = "grouped, 200 ms, burst 1",
        settings = LedgerSettings(writeBurst = 1),
    ),
    GROUPED_BURST(
        label = "grouped, 200 ms, burst 5",
        settings = LedgerSettings(),
    ),
    GROUPED_SLOW(
        label = "grouped, 500 ms, burst 5",
        settings = LedgerSettings(writeInterval = 500.milliseconds),
    ),
}
