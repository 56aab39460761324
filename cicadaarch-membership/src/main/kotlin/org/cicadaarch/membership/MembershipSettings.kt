package org.cicadaarch.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Periods, bounds and the random seed of the membership protocol; the same on all routers of a fleet.
 *
 * Timeouts are stretched by the local health score, and suspicion grows with the logarithm of the fleet's size.
 */
data class MembershipSettings(
    /** Time between two probes that a router starts. */
    val probePeriod: Duration = 500.milliseconds,
    /** Time that a direct probe waits for its answer before helpers are asked. */
    val directTimeout: Duration = 400.milliseconds,
    /** Time that helpers have to reach the probed router. */
    val indirectTimeout: Duration = 900.milliseconds,
    /** Number of helpers that are asked when a direct probe is unanswered. */
    val helpers: Int = 3,
    /** Probe periods, per decimal digit of the fleet's size, that a suspected router has to refute. */
    val suspicionMultiplier: Double = 3.0,
    /** Transmissions of an update by each router, per decimal digit of the fleet's size. */
    val disseminationMultiplier: Double = 4.0,
    /** Time between two messages that only pass on updates, while there are any; probes carry them too. */
    val gossipPeriod: Duration = 200.milliseconds,
    /** Time after which a suspicion or removal is no longer passed on. */
    val accusationLifetime: Duration = 15.seconds,
    /** Greatest size of an encoded message, in bytes. */
    val packetLimit: Int = 1_200,
    /** Time between two probes of addresses that are listed but not members. */
    val discoveryPeriod: Duration = 1.seconds,
    /** Number of listed addresses that are probed at once while no member is known. */
    val bootstrapProbes: Int = 4,
    /** Least time between two readings of the platform's list. */
    val listFetchPeriod: Duration = 10.seconds,
    /** Time between two readings of the list, per entry; bounds the bytes per second that reading it costs. */
    val listFetchPeriodPerEntry: Duration = 50.milliseconds,
    /** Time that a router removed once must stay a member before it is fit for roles; doubles with each removal. */
    val probationPeriod: Duration = 10.seconds,
    /** Upper bound of the doubled [probationPeriod]. */
    val probationPeriodLimit: Duration = 80.seconds,
    /** Time after which a removal no longer counts against an address. */
    val removalHistoryRetention: Duration = 15.minutes,
    /** Time that a removed router's address is still probed and its old updates are rejected. */
    val tombstoneRetention: Duration = 10.minutes,
    /** Least time between two comparisons of the member tables with another router. */
    val syncPeriod: Duration = 5.seconds,
    /** The same while a starting router knows less than half of the listed VMs. */
    val joinSyncPeriod: Duration = 500.milliseconds,
    /** Gap between two ticks above which the process counts as paused. */
    val pauseThreshold: Duration = 1.seconds,
    /** Upper bound of the local health score; 0 is healthy. */
    val healthLimit: Int = 4,
    /** Seed of all random choices. */
    val seed: Long = 0,
) {
    init {
        require(probePeriod.isPositive()) { "probePeriod must be positive, but is $probePeriod" }
        require(directTimeout.isPositive()) { "directTimeout must be positive, but is $directTimeout" }
        require(helpers >= 0) { "helpers must not be negative, but is $helpers" }
        require(packetLimit >= MIN_PACKET) { "packetLimit must be at least $MIN_PACKET, but is $packetLimit" }
    }

    private companion object {
        /** Bytes: room for one sender and one update with long names. */
        const val MIN_PACKET = 600
    }
}
