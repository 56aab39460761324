package org.cicadaarch.membership

import org.cicadaarch.model.Timestamp

/**
 * How often the router at one address was removed as unreachable of late, and when it was last.
 */
internal data class RemovalHistory(val removals: Int, val lastRemovedAt: Timestamp)
