package org.cicadaarch.dispatch.warmup

import kotlin.time.Duration

/**
 * How the targets of a service warm up: for [duration] after its start, a target is slow and takes [requestsPerSecond].
 */
data class WarmUpLimit(val duration: Duration, val requestsPerSecond: Double)
