package org.cicadaarch.ledger

import org.cicadaarch.model.Timestamp

/**
 * The time of an event: [now] on the monotonic clock for durations, and the wall clock [epochSeconds] for timestamps in
 * the store.
 */
internal data class LedgerTime(val now: Timestamp, val epochSeconds: Long)
