package org.cicadaarch.ledger

import org.cicadaarch.model.Timestamp

/**
 * The question to an ingress how the holder of a wanted key stands: last sent at [askedAt], last heard of at [heardAt].
 */
data class Inquiry(val claim: Claim, val askedAt: Timestamp, val heardAt: Timestamp)
