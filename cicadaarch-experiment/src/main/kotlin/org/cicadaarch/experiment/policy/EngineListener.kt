package org.cicadaarch.experiment.policy

/**
 * Hears what engines do with turns.
 */
internal interface EngineListener {
    fun started(turn: Turn, reusedTokens: Int, engine: EngineModel)

    fun firstToken(turn: Turn, engine: EngineModel)

    fun finished(turn: Turn, engine: EngineModel)

    fun crashed(turns: List<Turn>, engine: EngineModel)
}
