package org.cicadaarch.ledger

import org.cicadaarch.model.Timestamp

/**
 * A report that a request ended or was abandoned, received at [receivedAt] and not yet recorded in the store.
 */
data class PendingReport(val record: LedgerRecord, val receivedAt: Timestamp)
