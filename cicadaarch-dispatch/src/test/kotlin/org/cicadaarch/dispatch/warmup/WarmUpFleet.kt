package org.cicadaarch.dispatch.warmup

import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.dispatch.request.AttemptResult
import org.cicadaarch.dispatch.request.DispatchEffect
import org.cicadaarch.dispatch.request.DispatchEvent
import org.cicadaarch.dispatch.request.DispatchFixture
import org.cicadaarch.dispatch.request.DispatchReducer
import org.cicadaarch.dispatch.request.DispatchRequest
import org.cicadaarch.dispatch.request.DispatchSettings
import org.cicadaarch.dispatch.request.DispatchState
import org.cicadaarch.dispatch.request.ExchangeId
import org.cicadaarch.dispatch.routing.RetryPolicy
import org.cicadaarch.dispatch.routing.ServiceLimits
import org.cicadaarch.dispatch.target.LoadReport
import org.cicadaarch.dispatch.target.TargetEntry
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.ZoneName

/**
 * Routers that tell each other nothing, in front of the targets of one service, in virtual time.
 *
 * Requests arrive at random routers at [requestsPerSecond]; a target runs each for [runTime], whatever its load, and
 * reports its load with the response. [hotShare] of the requests have one prompt.
 */
internal class WarmUpFleet(
    routers: Int,
    private val requestsPerSecond: Int,
    private val hotShare: Double = 0.0,
    private val hasPrompts: Boolean = true,
    private val limit: WarmUpLimit? = LIMIT,
    private val runTime: Duration = 1.seconds,
    seed: Long = 1,
) {
    private val random = Random(seed)
    private val reducer = DispatchReducer(SETTINGS)
    private val actions = PriorityQueue(compareBy<Action>({ it.at }, { it.number }))
    private val nodes = List(routers) { Node() }
    private val held = HashMap<TargetId, Int>()
    private var entries = emptyList<TargetEntry>()
    private var nextNumber = 0L
    private var nextRequest = 0L

    var now = Timestamp(1_000_000)
        private set

    /** Targets that all routers know to be full, and to stay so. */
    var full = emptySet<TargetId>()

    /** All attempts that were sent. */
    val sends = mutableListOf<Sent>()

    /** Requests that were refused as not run. */
    var refused = 0
        private set

    init {
        nodes.forEach { it.start() }
        scheduleArrival()
        scheduleBacklogs()
    }

    /** Tells each router of [changed] targets, at once or within [spread]. */
    fun publish(changed: List<TargetEntry>, spread: Duration = Duration.ZERO) {
        entries = entries.filter { known -> changed.none { it.id == known.id } } + changed
        val published = entries
        nodes.forEach { node -> after(within(spread)) { node.learn(published) } }
    }

    /** Tells each router within [spread] that exactly [zones] are evacuated. */
    fun evacuate(zones: Set<ZoneName>, spread: Duration = Duration.ZERO) = nodes.forEach { node ->
        after(within(spread)) { node.submit(DispatchEvent.ZonesEvacuated(zones)) }
    }

    /** All routers are killed and start again without knowledge, except of the targets. */
    fun restartAll() = nodes.forEach { it.start() }

    fun run(duration: Duration) {
        val end = now + duration
        while (actions.isNotEmpty() && actions.peek().at < end) {
            val next = actions.remove()
            now = next.at
            next.run()
        }
        now = end
    }

    /** The most requests that one of [targets] got in a second that ended in [from]..[until]. */
    fun peak(targets: Set<TargetId>, from: Timestamp, until: Timestamp = now): Int = sends
        .filter { it.target in targets && it.at >= from && it.at <= until }
        .groupBy { it.target }
        .maxOfOrNull { (_, sent) -> peakOfSecond(sent.map { it.at }) } ?: 0

    fun countSince(from: Timestamp, isCounted: (TargetId) -> Boolean): Int =
        sends.count { it.at >= from && isCounted(it.target) }

    private fun peakOfSecond(times: List<Timestamp>): Int {
        var first = 0
        return times.indices.maxOf { last ->
            while (times[last] - times[first] > 1.seconds) first += 1
            last - first + 1
        }
    }

    private fun within(spread: Duration): Duration = random.nextLong(spread.inWholeMilliseconds + 1).milliseconds

    private fun after(delay: Duration, run: () -> Unit) {
        nextNumber += 1
        actions += Action(now + delay, nextNumber, run)
    }

    private fun scheduleArrival() {
        after((random.nextDouble() * 2 / requestsPerSecond).seconds) {
            nextRequest += 1
            val prompt = if (random.nextDouble() < hotShare) "hot" else "prompt-${random.nextInt(PROMPTS)}"
            nodes.random(random).receive(nextRequest, prompt.takeIf { hasPrompts })
            scheduleArrival()
        }
    }

    private fun scheduleBacklogs() {
        nodes.forEach { node -> full.forEach { node.submit(DispatchEvent.LoadReported(it, BACKLOG)) } }
        after(BACKLOG_INTERVAL, ::scheduleBacklogs)
    }

    private inner class Node {
        private var state = DispatchState()
        private var tickAt: Timestamp? = null
        private var generation = 0

        fun start() {
            generation += 1
            tickAt = null
            state = DispatchState(routerSeed = random.nextLong(), requests = persistentMapOf())
            submit(DispatchEvent.ServicesChanged(mapOf(SERVICE to ServiceLimits(connectionLimit = 1_000, limit))))
            submit(DispatchEvent.TargetsChanged(entries))
        }

        fun learn(entries: List<TargetEntry>) = submit(DispatchEvent.TargetsChanged(entries))

        fun receive(number: Long, promptKey: String?) = submit(
            DispatchEvent.RequestReceived(
                DispatchRequest(ExchangeId(number), ROUTE, SERVICE, priority = 0, ROUTE.timeout, promptKey),
            ),
        )

        fun submit(event: DispatchEvent) {
            val step = reducer.reduce(state, event, now)
            state = step.state
            step.effects.forEach { execute(it) }
            scheduleTick()
        }

        private fun execute(effect: DispatchEffect) {
            if (effect is DispatchEffect.Fail) refused += 1
            if (effect !is DispatchEffect.Send) return
            val target = effect.target.id
            sends += Sent(target, now, effect.cacheSource?.id)
            held.merge(target, 1, Int::plus)
            val runsIn = generation
            after(runTime) {
                held.merge(target, -1, Int::plus)
                if (runsIn == generation) ended(effect)
            }
        }

        private fun ended(send: DispatchEffect.Send) {
            val load = LoadReport(held.getValue(send.target.id), waiting = 0)
            submit(DispatchEvent.LoadReported(send.target.id, load.takeIf { send.target.id !in full } ?: BACKLOG))
            val answered = AttemptResult.Answered(status = 200, isDelivered = false)
            submit(DispatchEvent.AttemptEnded(send.id, send.attempt, answered))
        }

        private fun scheduleTick() {
            val next = reducer.nextTick(state, now) ?: return
            if (tickAt.let { it != null && it <= next }) return
            tickAt = next
            after(next - now) {
                if (tickAt == next) {
                    tickAt = null
                    submit(DispatchEvent.Tick)
                }
            }
        }
    }

    /** An attempt that was sent to [target] and may copy the cache from [cacheSource]. */
    class Sent(val target: TargetId, val at: Timestamp, val cacheSource: TargetId?)

    private class Action(val at: Timestamp, val number: Long, val run: () -> Unit)

    companion object {
        val SERVICE: ServiceName = DispatchFixture.SERVICE
        val LIMIT = WarmUpLimit(duration = 10.seconds, requestsPerSecond = 4.0)
        val SETTINGS = DispatchSettings(
            zone = ZoneName("a"),
            imbalanceFactor = 2.0,
            retryRatio = 0.2,
            retrySlack = 2.0,
            warmUpOverrun = 1.5,
            warmUpSlack = 5.0,
        )

        /** The most requests that a warming target may get in a second: 4 * 1.5 + 5. */
        const val ALLOWED_PER_SECOND = 11
        private const val PROMPTS = 400
        private val BACKLOG_INTERVAL = 200.milliseconds
        private val BACKLOG = LoadReport(running = 50, waiting = 50)
        private val ROUTE = DispatchFixture.route(RetryPolicy.AT_MOST_ONCE, isStream = true).copy(
            timeout = 10.seconds,
            latencyObjective = 2.seconds,
            hasPromptAffinity = true,
        )
    }
}
