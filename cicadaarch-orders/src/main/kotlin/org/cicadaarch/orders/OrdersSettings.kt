package org.cicadaarch.orders

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the orders to model engines. They must be the same on every router.
 *
 * @property leaseTime the time to live of a holder's lease, which is renewed after a third of it
 * @property safetyMargin how long before the lease expires the holder stops sending orders
 * @property orderTimeout how long an order or a state read may take; no order reaches an engine later than this after
 *   it was sent
 * @property maximumLoads how many engines of a group may load weights at once
 * @property loadTime how long an engine counts as loading after it was ordered to load
 * @property checkInterval how soon an engine's state is read again after an accepted order, or while the engine is not
 *   in its wanted state
 * @property recheckInterval how often the state of an engine that is in its wanted state is read
 * @property retryInterval the delay before a failed store call, state read or order is tried again, and before a group
 *   that was lost or is held by another router is claimed again
 */
data class OrdersSettings(
    val leaseTime: Duration = 15.seconds,
    val safetyMargin: Duration = 3.seconds,
    val orderTimeout: Duration = 5.seconds,
    val maximumLoads: Int = 2,
    val loadTime: Duration = 5.minutes,
    val checkInterval: Duration = 1.seconds,
    val recheckInterval: Duration = 30.seconds,
    val retryInterval: Duration = 1.seconds,
) {
    init {
        require(safetyMargin < leaseTime) { "safetyMargin $safetyMargin must be shorter than leaseTime $leaseTime" }
        require(maximumLoads > 0) { "maximumLoads must be positive, was $maximumLoads" }
    }

    /**
     * How long a new holder waits before it contacts engines that do not check fencing tokens. The sum covers the lease
     * of a previous holder and the time that its last order may still be on its way.
     */
    val takeoverDelay: Duration get() = leaseTime + safetyMargin + orderTimeout
}
