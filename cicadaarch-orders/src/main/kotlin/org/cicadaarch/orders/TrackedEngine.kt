package org.cicadaarch.orders

import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.fleet.WantedState

/**
 * What the holder of a group knows about one engine.
 *
 * [reportedState] is the last state read from the engine, null when it must be read again. No state is read before
 * [nextReadAt]. [pendingCall] is the read or order that has not completed yet. [orderedState] is the state of the last
 * order; the engine counts as loading it until [loadingUntil].
 */
data class TrackedEngine(
    val nextReadAt: Timestamp,
    val reportedState: EngineState? = null,
    val pendingCall: EngineCall? = null,
    val orderedState: WantedState? = null,
    val loadingUntil: Timestamp? = null,
)
