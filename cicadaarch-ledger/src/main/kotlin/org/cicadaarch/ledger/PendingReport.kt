package org.cicadaarch.ledger

import org.cicadaarch.model.Timestamp

/**
 * A finish or abandonment, received at [receivedAt], that is not yet in the store.
 */
data class PendingReport(val record: LedgerRecord, val receivedAt: Timestamp)
