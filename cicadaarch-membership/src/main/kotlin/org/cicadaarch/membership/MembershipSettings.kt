package org.cicadaarch.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Parameters of the membership protocol, which must be equal on all routers of a fleet.
 *
 * Timeouts are multiplied by the local health score plus one. Suspicion timeouts and the number of transmissions of an
 * update also grow with the decimal logarithm of the fleet size.
 */
data class MembershipSettings(
    /** Period at which a router starts probes of its members, in a round-robin order. */
    val probePeriod: Duration = 500.milliseconds,
    /** Timeout of a direct probe, after which helpers are asked to probe indirectly. */
    val directTimeout: Duration = 400.milliseconds,
    /** Timeout of an indirect probe and of a probe to an unknown router. */
    val indirectTimeout: Duration = 900.milliseconds,
    /** Number of helpers asked for an indirect probe (k in SWIM). */
    val helpers: Int = 3,
    /** Suspicion timeout in probe periods, per factor of ten in the fleet size. */
    val suspicionMultiplier: Double = 3.0,
    /** Transmissions of an update by each router, per factor of ten in the fleet size. */
    val disseminationMultiplier: Double = 4.0,
    /** Period of gossip messages while updates are queued; other messages piggyback updates too. */
    val gossipPeriod: Duration = 200.milliseconds,
    /** Time after which a queued suspicion or removal is no longer disseminated. */
    val accusationLifetime: Duration = 15.seconds,
    /** Maximum size of an encoded message, in bytes. */
    val packetLimit: Int = 1_200,
    /** Period of probes to addresses that are listed but not members. */
    val discoveryPeriod: Duration = 1.seconds,
    /** Number of listed addresses probed per discovery period while no member is known. */
    val bootstrapProbes: Int = 4,
    /** Minimum period of fetching the platform's VM list. */
    val listFetchPeriod: Duration = 10.seconds,
    /** Period of fetching the list per entry in it; bounds the bandwidth of the fetches. */
    val listFetchPeriodPerEntry: Duration = 50.milliseconds,
    /** Time until a router that rejoins after its removal is eligible for roles; doubles with each removal. */
    val probationPeriod: Duration = 10.seconds,
    /** Upper bound of the doubled [probationPeriod]. */
    val probationPeriodLimit: Duration = 80.seconds,
    /** Time after an address's last removal until its removals no longer extend the probation. */
    val removalHistoryRetention: Duration = 15.minutes,
    /** Time for which a removed router's address is still probed and its outdated updates are rejected. */
    val tombstoneRetention: Duration = 10.minutes,
    /** Minimum period of anti-entropy exchanges, which compare the member tables of two routers. */
    val syncPeriod: Duration = 5.seconds,
    /** Replaces [syncPeriod] while a router knows less than half of the listed VMs, as after its start. */
    val joinSyncPeriod: Duration = 500.milliseconds,
    /** Gap between two ticks from which the process is considered to have been paused. */
    val pauseThreshold: Duration = 1.seconds,
    /** Upper bound of the local health score; a score of 0 is healthy. */
    val healthLimit: Int = 4,
    /** Seed of all pseudo-random choices. */
    val seed: Long = 0,
) {
    init {
        require(probePeriod.isPositive()) { "probePeriod must be positive, but is $probePeriod" }
        require(directTimeout.isPositive()) { "directTimeout must be positive, but is $directTimeout" }
        require(helpers >= 0) { "helpers must not be negative, but is $helpers" }
        require(packetLimit >= MIN_PACKET_LIMIT) {
            "packetLimit must be at least $MIN_PACKET_LIMIT, but is $packetLimit"
        }
    }

    private companion object {
        /** In bytes: enough for the header and one update with long names. */
        const val MIN_PACKET_LIMIT = 600
    }
}
