package org.cicadaarch.membership

import org.cicadaarch.model.Timestamp

/**
 * The number of recent [removals] of routers at one address as unreachable, and the time of the last one.
 */
internal data class RemovalHistory(val removals: Int, val lastRemovedAt: Timestamp)
