package org.cicadaarch.ledger

import org.cicadaarch.model.Timestamp

/**
 * The shard owner's inquiry whether [claim], which holds a key that another request wants, is still in progress.
 *
 * It was last sent to the holder's ingress at [lastSentAt], and last confirmed at [lastHeardAt]; until the first
 * confirmation, [lastHeardAt] is the time of the first inquiry.
 */
data class HolderInquiry(val claim: Claim, val lastSentAt: Timestamp, val lastHeardAt: Timestamp)
