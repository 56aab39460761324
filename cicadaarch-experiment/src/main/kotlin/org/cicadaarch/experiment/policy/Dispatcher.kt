package org.cicadaarch.experiment.policy

/**
 * Chooses an engine for each turn: the policy under measurement.
 */
internal interface Dispatcher {
    /** Turns that wait outside the engines. */
    val waiting: Int

    /** Bytes of control messages between routers so far. */
    val controlBytes: Long

    fun offer(turn: Turn)

    fun finished(turn: Turn)

    /** [engines] is the list that routers know now. */
    fun enginesChanged(engines: List<EngineModel>)

    fun churn(event: Churn)
}
