package org.cicadaarch.dispatch.target

import kotlin.time.Duration

/**
 * What a target says of itself in a response: with [isDraining], that it is about to leave; with [backOff], that it
 * wants no request from this router for that long.
 */
data class TargetNotice(val isDraining: Boolean, val backOff: Duration?)
