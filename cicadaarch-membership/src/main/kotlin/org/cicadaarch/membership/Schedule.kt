package org.cicadaarch.membership

import org.cicadaarch.model.Timestamp

/**
 * When the periodic work is next due.
 */
internal data class Schedule(
    val lastTick: Timestamp,
    val probe: Timestamp,
    val gossip: Timestamp,
    val discovery: Timestamp,
    val listFetch: Timestamp,
    val cleanup: Timestamp,
    val sync: Timestamp,
)
