package org.cicadaarch.membership

import org.cicadaarch.model.Timestamp

/**
 * The time of the last tick, and the next due time of each kind of periodic work.
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
