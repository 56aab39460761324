package org.cicadaarch.experiment.membership

import kotlin.time.Duration

/**
 * What one run of a scenario showed. Times are since the fault, of the views that lost what they had to lose.
 */
data class ScenarioResult(
    /** Time until the whole fleet was agreed after its cold start, or null when it was not within the limit. */
    val joined: Duration?,
    /** Time until the first view lost the first router that it had to lose. */
    val first: Duration?,
    /** The median over all views and routers to lose. */
    val median: Duration?,
    /** Time until the last view lost the last router, or null when some never did. */
    val all: Duration?,
    /** Time from the end of the fault until all views were right again, or null when they were not in the limit. */
    val recovered: Duration?,
    /** Losses from a view of a router that ran, was awake and was not cut off. */
    val falseRemovals: Int,
    /** All losses from views. */
    val removals: Int,
    /** Encoded bytes sent by each router per second, from the fault to the end. */
    val bytesPerSecond: Double,
    /** Datagrams sent by each router per second. */
    val messagesPerSecond: Double,
    /** Size of the greatest datagram. */
    val greatestDatagram: Int,
    /** Readings of the platform's list by each router per minute. */
    val listReadsPerMinute: Double,
    /** Processor time of each router per tick of 100 ms, messages included, in microseconds. */
    val microsecondsPerTick: Double,
    /** Bytes of one router's list of the others. */
    val stateBytes: Int,
)
