package org.cicadaarch.dispatch.admission

import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.dispatch.quarantine.RequestTrait
import org.cicadaarch.dispatch.request.AttemptResult
import org.cicadaarch.dispatch.request.DispatchEffect
import org.cicadaarch.dispatch.request.DispatchEvent
import org.cicadaarch.dispatch.request.DispatchFixture
import org.cicadaarch.dispatch.request.DispatchReducer
import org.cicadaarch.dispatch.request.DispatchRequest
import org.cicadaarch.dispatch.request.DispatchSettings
import org.cicadaarch.dispatch.request.DispatchState
import org.cicadaarch.dispatch.request.ExchangeId
import org.cicadaarch.dispatch.request.RequestFailure
import org.cicadaarch.dispatch.request.RequestWork
import org.cicadaarch.dispatch.routing.ServiceLimits
import org.cicadaarch.dispatch.target.LoadReport
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.Fingerprint
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.ZoneName

/**
 * One router in virtual time, in front of [targets] targets that run [slots] requests at once and queue the others. A
 * target reads one prompt at a time. Each kind has a random source of its own, so that the same requests arrive
 * whatever else arrives.
 */
internal class OverloadSimulation(
    private val targets: Int,
    private val slots: Int,
    private val kinds: List<SimulatedKind>,
    private val seed: Int = 1,
    cacheTokens: Int? = null,
) {
    private val reducer = DispatchReducer(
        DispatchSettings(zone = ZoneName("a"), imbalanceFactor = 2.0, retryRatio = 0.2, retrySlack = 10.0),
    )
    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.number })
    private val fleet = (0 until targets).associate { "t$it" to FakeTarget() }
    private val origins = HashMap<ExchangeId, Arrival>()
    private var nextEvent = 0L
    private var nextRequest = 0L
    private var nextBody = 0L
    private var tickAt: Timestamp? = null
    private var now = Timestamp(0)
    var state = DispatchState()
        private set

    /** Outcomes by the name of the kind; requests that arrive in the first seconds do not count. */
    val outcomes: Map<String, SimulatedOutcomes> = kinds.associate { it.name to SimulatedOutcomes() }

    /** Early refusals while a target had a free slot. */
    var refusedWithFreeSlot = 0
        private set

    /** Tokens that a target held at most. */
    val mostTokensHeld: Int get() = fleet.values.maxOf { it.mostTokens }

    init {
        submit(DispatchEvent.TargetsChanged(fleet.keys.map { DispatchFixture.target(it, slots) }))
        val limits = ServiceLimits(connectionLimit = 100, cacheTokens = cacheTokens)
        submit(DispatchEvent.ServicesChanged(mapOf(DispatchFixture.SERVICE to limits)))
    }

    /** Runs until [end]; requests count from [countFrom] on. */
    fun run(end: Duration, countFrom: Duration = 5.seconds): OverloadSimulation {
        kinds.forEachIndexed { index, kind -> scheduleArrivals(kind, Random(seed * SEED_STEP + index), countFrom) }
        while (true) {
            val event = events.poll() ?: return this
            if (event.at > Timestamp(0) + end) return this
            now = event.at
            event.action()
        }
    }

    private fun scheduleArrivals(kind: SimulatedKind, random: Random, countFrom: Duration) {
        after((-ln(1.0 - random.nextDouble()) / kind.perSecond(now - Timestamp(0))).seconds) {
            nextBody += 1
            val isLarge = kind.largeWork != null && random.nextDouble() < LARGE_SHARE
            val isCounted = now >= Timestamp(0) + countFrom
            receive(Arrival(kind, now, nextBody, isLarge, isCounted))
            scheduleArrivals(kind, random, countFrom)
        }
    }

    private fun receive(arrival: Arrival) {
        nextRequest += 1
        val kind = arrival.kind
        val id = ExchangeId(nextRequest)
        origins[id] = arrival.copy(attemptAt = now)
        if (arrival.attemptAt == null && arrival.isCounted) {
            arrival.outcomes.arrived += 1
            if (arrival.isLarge) arrival.outcomes.largeArrived += 1
        }
        val elapsed = now - arrival.at
        submit(
            DispatchEvent.RequestReceived(
                DispatchRequest(
                    id = id,
                    route = kind.route,
                    service = DispatchFixture.SERVICE,
                    priority = kind.priority,
                    timeAllowed = kind.route.timeout - elapsed,
                    promptKey = null,
                    traits = setOf(RequestTrait.wholeRequest(Fingerprint(arrival.body))),
                    work = arrival.work,
                    account = AccountId(kind.account),
                ),
            ),
        )
    }

    private fun submit(event: DispatchEvent) {
        val step = reducer.reduce(state, event, now)
        state = step.state
        step.effects.forEach { execute(it) }
        val next = reducer.nextTick(state, now) ?: return
        if (tickAt.let { it != null && it <= next }) return
        tickAt = next
        at(maxOf(next, now)) {
            if (tickAt == next) {
                tickAt = null
                submit(DispatchEvent.Tick)
            }
        }
    }

    private fun execute(effect: DispatchEffect) {
        if (effect is DispatchEffect.Send) after(1.milliseconds) { arrive(effect) }
        if (effect is DispatchEffect.Fail) failed(effect.id, effect.failure)
    }

    private fun arrive(send: DispatchEffect.Send) {
        val arrival = origins.getValue(send.id)
        val target = fleet.getValue(send.target.id.value)
        if (arrival.isCounted) {
            arrival.outcomes.sent += 1
            if (arrival.isLarge) arrival.outcomes.largeSent += 1
        }
        target.submit(
            Run(
                tokens = arrival.work?.promptTokens ?: 0,
                held = arrival.work?.let { it.promptTokens + it.outputTokens } ?: 0,
                runTime = arrival.kind.runTime,
                onFirstPart = {
                    if (arrival.kind.route.isStream) arrival.answered()
                    submit(DispatchEvent.LoadReported(send.target.id, target.report()))
                    submit(DispatchEvent.ResponseStarted(send.id, send.attempt))
                },
                onEnd = {
                    if (!arrival.kind.route.isStream) arrival.answered()
                    val answered = AttemptResult.Answered(status = 200, isDelivered = true)
                    submit(DispatchEvent.AttemptEnded(send.id, send.attempt, answered))
                },
            ),
        )
    }

    private fun failed(id: ExchangeId, failure: RequestFailure) {
        val arrival = origins.getValue(id)
        val notRun = failure as? RequestFailure.NotRun ?: return
        val isEarly = now == arrival.attemptAt
        if (isEarly && fleet.values.any { it.held < slots }) refusedWithFreeSlot += 1
        if (arrival.isCounted) {
            arrival.outcomes.refusals += 1
            if (isEarly) arrival.outcomes.refusedEarly += 1
        }
        val delay = when (arrival.kind.client) {
            SimulatedClient.NONE -> return
            SimulatedClient.PATIENT -> notRun.retryAfter
            SimulatedClient.IMMEDIATE -> IMMEDIATE_DELAY
        }
        if (now + delay < arrival.objectiveEnd) after(delay) { receive(arrival) }
    }

    private fun after(delay: Duration, action: () -> Unit) = at(now + delay, action)

    private fun at(time: Timestamp, action: () -> Unit) {
        nextEvent += 1
        events += Event(time, nextEvent, action)
    }

    private inner class FakeTarget {
        private val waiting = ArrayDeque<Run>()
        private var running = 0
        private var readUntil = Timestamp(0)
        private var tokens = 0
        var mostTokens = 0
            private set
        val held: Int get() = running + waiting.size

        fun report() = LoadReport(running, waiting.size)

        fun submit(run: Run) {
            tokens += run.held
            mostTokens = maxOf(mostTokens, tokens)
            waiting.addLast(run)
            startWaiting()
        }

        private fun startWaiting() {
            while (running < slots && waiting.isNotEmpty()) start(waiting.removeFirst())
        }

        private fun start(run: Run) {
            running += 1
            readUntil = maxOf(readUntil, now) + READ_TIME * run.tokens
            at(readUntil) {
                run.onFirstPart()
                after(run.runTime) {
                    running -= 1
                    tokens -= run.held
                    startWaiting()
                    run.onEnd()
                }
            }
        }
    }

    private class Run(
        val tokens: Int,
        val held: Int,
        val runTime: Duration,
        val onFirstPart: () -> Unit,
        val onEnd: () -> Unit,
    )

    private class Event(val at: Timestamp, val number: Long, val action: () -> Unit)

    private data class Arrival(
        val kind: SimulatedKind,
        val at: Timestamp,
        val body: Long,
        val isLarge: Boolean,
        val isCounted: Boolean,
        val attemptAt: Timestamp? = null,
    )

    private val Arrival.outcomes: SimulatedOutcomes get() = this@OverloadSimulation.outcomes.getValue(kind.name)
    private val Arrival.work: RequestWork? get() = if (isLarge) kind.largeWork else kind.work
    private val Arrival.objectiveEnd: Timestamp get() = at + kind.route.latencyObjective

    private fun Arrival.answered() {
        if (isCounted && now <= objectiveEnd) outcomes.inTime += 1
    }

    private companion object {
        const val SEED_STEP = 1_000
        const val LARGE_SHARE = 0.1
        val IMMEDIATE_DELAY = 20.milliseconds
        val READ_TIME = 0.1.milliseconds
    }
}
