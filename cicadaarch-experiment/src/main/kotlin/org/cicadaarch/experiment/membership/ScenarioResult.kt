package org.cicadaarch.experiment.membership

import kotlin.time.Duration

/**
 * What one run of a scenario showed. A router's view is its list of the others. Unless stated otherwise, times count
 * from the fault until a view has dropped a router that the fault took away.
 */
data class ScenarioResult(
    /** Time from the cold start until all views were equal, or null if that took longer than the limit. */
    val joined: Duration?,
    /** Time until the first view dropped its first router. */
    val first: Duration?,
    /** The median over all views and all routers to drop. */
    val median: Duration?,
    /** Time until the last view dropped its last router, or null if one never did. */
    val all: Duration?,
    /** Time from the end of the fault until all views were right again, or null if that took longer than the limit. */
    val recovered: Duration?,
    /** How often a view dropped a router that ran, was awake and was not cut off. */
    val falseRemovals: Int,
    /** How often a view dropped a router. */
    val removals: Int,
    /** Encoded bytes sent by each router per second, from the fault to the end. */
    val bytesPerSecond: Double,
    /** Datagrams sent by each router per second. */
    val messagesPerSecond: Double,
    /** Size of the largest datagram, in bytes. */
    val greatestDatagram: Int,
    /** Readings of the platform's list by each router per minute. */
    val listReadsPerMinute: Double,
    /** Processor time of each router per tick of 100 ms, messages included, in microseconds. */
    val microsecondsPerTick: Double,
    /** Bytes of one router's list of the others. */
    val stateBytes: Int,
)
