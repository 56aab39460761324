package org.cicadaarch.experiment.policy

/**
 * One run of [scenario] under one policy: engines, churn, measurements.
 */
internal class PolicyRun(val scenario: Scenario, private val seed: Long) : EngineListener {
    val clock = VirtualClock()
    val measurements = Measurements(scenario)
    private val engines = MutableList(scenario.engines, ::engine)
    private val source = ChatSource(scenario, clock, seed, ::offer)
    private lateinit var dispatcher: Dispatcher

    /** Runs under the policy that [policy] makes and returns the table's row. */
    fun run(policy: Policy): String {
        dispatcher = policy.dispatcher(this, seed, ::refused)
        dispatcher.enginesChanged(engines.toList())
        clock.schedule(MICROSECONDS_PER_SECOND) { source.start() }
        scenario.churn.forEach { event -> clock.schedule(event.at) { churn(event) } }
        var bytesBefore = 0L
        clock.schedule(scenario.measuredFrom) { bytesBefore = dispatcher.controlBytes }
        clock.every(SAMPLE_PERIOD, scenario.duration, ::sample)
        clock.runUntil(scenario.duration)
        val seconds = (scenario.duration - scenario.measuredFrom).toDouble() / MICROSECONDS_PER_SECOND
        return measurements.row(policy.name, (dispatcher.controlBytes - bytesBefore) / seconds / scenario.routers)
    }

    override fun started(turn: Turn, reusedTokens: Int, engine: EngineModel) {
        turn.startedAt = clock.now
        measurements.started(turn, reusedTokens, clock.now)
    }

    override fun firstToken(turn: Turn, engine: EngineModel) {
        turn.firstTokenAt = clock.now
        measurements.firstToken(turn, clock.now)
    }

    override fun finished(turn: Turn, engine: EngineModel) {
        dispatcher.finished(turn)
        source.answered(turn)
    }

    override fun crashed(turns: List<Turn>, engine: EngineModel) = turns.forEach { turn ->
        dispatcher.finished(turn)
        clock.schedule(clock.now + RETRY_PAUSE) { dispatcher.offer(turn) }
    }

    private fun offer(turn: Turn) {
        measurements.offered(turn)
        dispatcher.offer(turn)
    }

    /** Judges a refusal twice: by slots free until now, and by slots that come free before the deadline. */
    private fun refused(turn: Turn) {
        val falsely = hadFreeSlot(turn)
        clock.schedule(turn.arrivedAt + scenario.timeAllowed) {
            measurements.refused(turn, falsely, early = !falsely && hadFreeSlot(turn))
        }
    }

    private fun hadFreeSlot(turn: Turn) = engines.any { it.hadFreeSlotSince(turn.arrivedAt) }

    private fun sample() {
        if (clock.now >= scenario.measuredFrom) {
            measurements.sample(engines.filter { it.up && it.open }, dispatcher.waiting)
        }
    }

    private fun churn(event: Churn) {
        when (event) {
            is Churn.Join -> {
                engines += engine(engines.size)
                publish()
            }

            is Churn.Leave -> {
                engines[event.engine].open = false
                publish()
            }

            is Churn.Crash -> crash(event)

            is Churn.ViewSplit, is Churn.RouterLost -> dispatcher.churn(event)
        }
    }

    private fun crash(event: Churn.Crash) {
        val engine = engines[event.engine]
        engine.crash()
        clock.schedule(clock.now + DETECTION) {
            engine.open = engine.up
            publish()
        }
        event.restartAfter?.let { pause ->
            clock.schedule(clock.now + pause) {
                engine.restart()
                engine.open = true
                publish()
            }
        }
    }

    private fun publish() = dispatcher.enginesChanged(engines.filter { it.open })

    private fun engine(number: Int) = EngineModel("engine-%03d".format(number), scenario.engine, clock, this)

    private companion object {
        const val SAMPLE_PERIOD = 100 * MICROSECONDS_PER_MILLISECOND
        const val RETRY_PAUSE = 100 * MICROSECONDS_PER_MILLISECOND
        const val DETECTION = 1 * MICROSECONDS_PER_SECOND
    }
}
