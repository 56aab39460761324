package org.cicadaarch.ledger

import org.cicadaarch.model.Timestamp

/**
 * The time of an event: [now] for durations, [epochSeconds] for what is written to the store.
 */
internal data class LedgerTime(val now: Timestamp, val epochSeconds: Long)
