package org.cicadaarch.ledger

import org.cicadaarch.model.Timestamp

/**
 * The question to an ingress how the holder of a wanted key stands: last sent at [lastSentAt], last heard of at [lastHeardAt].
 */
data class HolderInquiry(val claim: Claim, val lastSentAt: Timestamp, val lastHeardAt: Timestamp)
