package org.cicadaarch.experiment.policy

import java.util.SplittableRandom
import org.cicadaarch.placement.RendezvousHash

/**
 * Baselines without permits: each ingress sends at once to the engine that [choice] names.
 */
internal class DirectDispatcher(private val choice: Choice, private val clock: VirtualClock, seed: Long) : Dispatcher {
    /** How a baseline chooses. */
    enum class Choice { UNIFORM_RANDOM, LEAST_REPORTED_LOAD, PLAIN_RENDEZVOUS }

    private val random = SplittableRandom(seed)
    private var engines = emptyList<EngineModel>()
    private var reported = emptyMap<EngineModel, Int>()
    override val waiting = 0
    override val controlBytes = 0L

    override fun offer(turn: Turn) = choose(turn).submit(turn)

    override fun finished(turn: Turn) = Unit

    override fun churn(event: Churn) = Unit

    override fun enginesChanged(engines: List<EngineModel>) {
        if (this.engines.isEmpty()) clock.every(REPORT_PERIOD, Long.MAX_VALUE / 2, ::report)
        this.engines = engines
    }

    private fun report() {
        val loads = engines.associateWith { it.inFlight }
        clock.schedule(clock.now + REPORT_LAG) { reported = loads }
    }

    private fun choose(turn: Turn): EngineModel = when (choice) {
        Choice.UNIFORM_RANDOM -> engines[random.nextInt(engines.size)]

        Choice.LEAST_REPORTED_LOAD -> {
            val least = engines.minOf { reported[it] ?: 0 }
            engines.filter { (reported[it] ?: 0) == least }.let { it[random.nextInt(it.size)] }
        }

        Choice.PLAIN_RENDEZVOUS ->
            checkNotNull(RendezvousHash.first(key = "chat-${turn.chat}", members = engines, name = { it.name }))
    }
}

internal const val REPORT_PERIOD = 500 * MICROSECONDS_PER_MILLISECOND
internal const val REPORT_LAG = 500 * MICROSECONDS_PER_MILLISECOND
