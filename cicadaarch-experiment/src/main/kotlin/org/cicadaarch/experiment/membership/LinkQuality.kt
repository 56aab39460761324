package org.cicadaarch.experiment.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How datagrams fare: one-way delay between [leastDelay] and [mostDelay], and shares lost and duplicated.
 */
data class LinkQuality(
    val leastDelay: Duration = 1.milliseconds,
    val mostDelay: Duration = 5.milliseconds,
    val loss: Double = 0.0,
    val duplication: Double = 0.0,
)
