package org.cicadaarch.orders

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the orders to model engines, equal on every router.
 *
 * A holder's lease lasts [leaseTime] and is renewed every third of it; orders stop [margin] before it lapses. No order
 * reaches an engine later than [longestOrder] after it was sent. At most [maximumLoads] engines of a group load weights
 * at once, each for up to [loadTime]. Reached states are read again every [recheckInterval].
 */
data class OrdersSettings(
    val leaseTime: Duration = 15.seconds,
    val margin: Duration = 3.seconds,
    val longestOrder: Duration = 5.seconds,
    val maximumLoads: Int = 2,
    val loadTime: Duration = 5.minutes,
    val checkInterval: Duration = 1.seconds,
    val recheckInterval: Duration = 30.seconds,
    val retryInterval: Duration = 1.seconds,
) {
    init {
        require(margin < leaseTime) { "margin $margin must be shorter than leaseTime $leaseTime" }
        require(maximumLoads > 0) { "maximumLoads must be positive, was $maximumLoads" }
    }

    /** How long a new holder leaves engines alone that do not check fencing numbers. */
    val quietTime: Duration get() = leaseTime + margin + longestOrder
}
