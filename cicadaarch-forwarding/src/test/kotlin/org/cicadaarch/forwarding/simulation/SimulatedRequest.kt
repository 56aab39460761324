package org.cicadaarch.forwarding.simulation

import kotlin.time.Duration

/** A request that takes [runTime] at a target, of which [headTime] passes before the head of its response. */
internal data class SimulatedRequest(val promptKey: String?, val runTime: Duration, val headTime: Duration)
