package org.cicadaarch.dispatch.admission

import kotlin.time.Duration

/**
 * From [start] on, a kind has [factor] times its usual rate.
 */
internal data class SimulatedSurge(val factor: Double, val start: Duration)
