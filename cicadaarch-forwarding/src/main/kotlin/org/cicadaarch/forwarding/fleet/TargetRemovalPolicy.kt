package org.cicadaarch.forwarding.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How long the entry of a target that disappeared from the store is kept, derived from the time between two writes of
 * its entry, [heartbeatInterval], and the time for which a target serves after it left, [drainTimeout].
 */
internal data class TargetRemovalPolicy(val heartbeatInterval: Duration, val drainTimeout: Duration) {
    /** How long an entry that disappeared during a store outage is kept after the outage. */
    val gracePeriod: Duration get() = minOf(REREGISTRATION_TIME, maxRemovalAge)

    /** How long after a target left it may still be used: so much less than the drain timeout that requests arrive. */
    val maxRemovalAge: Duration get() = drainTimeout - DRAIN_MARGIN

    /** Failures of the store that last less than this are no outage: no entry expires in so short a time. */
    val minOutage: Duration get() = heartbeatInterval / 2

    /**
     * How long an entry is ignored that an older copy of the store has of a target that had left. Meanwhile the store
     * removes the entry, and the [gracePeriod] after that ends; or the target, if it does serve, writes it again.
     */
    val ignoreTime: Duration get() = heartbeatInterval * MISSED_HEARTBEATS + gracePeriod

    private companion object {
        /** After three missed ones the store removes an entry. */
        const val MISSED_HEARTBEATS = 4

        /** Targets whose entries expired during a store outage register again within about two seconds. */
        val REREGISTRATION_TIME = 2200.milliseconds

        /** Time for the last request to a target that left to reach it. */
        val DRAIN_MARGIN = 200.milliseconds
    }
}
