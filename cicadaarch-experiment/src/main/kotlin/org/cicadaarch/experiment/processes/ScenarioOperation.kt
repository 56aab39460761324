package org.cicadaarch.experiment.processes

import org.cicadaarch.model.Outcome

/**
 * A request with all of its [sends], in order. The operation [isOver] when its caller sends no more.
 */
internal data class ScenarioOperation(val request: ScenarioRequest, val sends: List<Send>, val isOver: Boolean) {
    /** The outcome of the last send, null when it has none. */
    val outcome: Outcome? get() = sends.lastOrNull()?.answer?.outcome
}
