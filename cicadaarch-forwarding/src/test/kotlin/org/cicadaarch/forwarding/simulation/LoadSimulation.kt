package org.cicadaarch.forwarding.simulation

import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.dispatch.request.DispatchRequest
import org.cicadaarch.dispatch.request.DispatchSettings
import org.cicadaarch.dispatch.request.ExchangeId
import org.cicadaarch.dispatch.routing.RetryPolicy
import org.cicadaarch.dispatch.routing.Route
import org.cicadaarch.dispatch.routing.ServiceLimits
import org.cicadaarch.dispatch.routing.WeightedService
import org.cicadaarch.dispatch.target.TargetEntry
import org.cicadaarch.dispatch.warmup.WarmUpLimit
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.ZoneName

/**
 * A fleet of [routers] that serves streams of a few kinds with one service of [targets] targets, in virtual time.
 *
 * Each router knows its own requests, the reports in its own responses, and what other routers tell it. Requests arrive
 * at random times, at random routers, and the rate does not depend on the number of routers. All times count from the
 * first request.
 */
internal class LoadSimulation(
    private val routers: Int,
    private val targets: Int,
    private val requestsPerSecond: Double,
    seed: Long,
    private val kinds: List<LoadKind> = LoadKind.GUILD,
    private val slots: Int = 12,
    private val warmUp: WarmUpLimit? = null,
) {
    private val random = Random(seed)
    private val time = VirtualTime()
    private val simulatedTargets = LinkedHashMap<TargetId, SimulatedTarget>()
    private val record = LoadRecord()
    private val servedAt = HashMap<Pair<String, TargetId>, Timestamp>()
    private var nextId = 0L
    private var hotShare = 0.0

    /** Requests whose target had served none with the same prompt in the last seconds. */
    var misses = 0
        private set

    var requests = 0
        private set

    private val dispatchers = List(routers) { number ->
        SimulatedDispatcher(SETTINGS, time, simulatedTargets::get, routerSeed = number.toLong(), onArrival = ::arrived)
    }

    private val fleet = SimulatedFleet(dispatchers, time, Random(seed))
    private val origin = fleet.settle()

    /** Requests that no target was given. */
    val failures: Int get() = dispatchers.sumOf { it.failures }

    init {
        if (warmUp != null) limitWarmUp(warmUp)
        repeat(targets) { addTarget() }
        publishTargets()
        scheduleArrival()
    }

    /** From [start] for [duration], [share] of the requests have the same prompt. */
    fun hotPrompt(start: Duration, duration: Duration, share: Double) {
        time.at(origin + start) { hotShare = share }
        time.at(origin + start + duration) { hotShare = 0.0 }
    }

    /** At [start], [count] targets without requests join; every router learns of them within half a second. */
    fun join(start: Duration, count: Int) = time.at(origin + start) {
        repeat(count) { addTarget() }
        publishTargets(spread = 500)
    }

    /** At [start], other processes take the place of [count] targets, which warm up for [warmUpRemaining]. */
    fun replace(start: Duration, count: Int, warmUpRemaining: Duration) = time.at(origin + start) {
        simulatedTargets.values.take(count).forEach { before ->
            val entry = before.entry.copy(startedAtMillis = 2, warmUpRemaining = warmUpRemaining)
            simulatedTargets[entry.id] = SimulatedTarget(entry, time)
        }
        publishTargets(spread = 500)
    }

    /** Runs for [duration] and returns the worst window after the first seconds. */
    fun run(duration: Duration): LoadRecord.Window {
        time.runUntil(origin + duration)
        return record.worstWindow()
    }

    private fun addTarget() {
        val number = simulatedTargets.size
        val id = TargetId("target-$number")
        val entry = TargetEntry(
            id = id,
            service = SERVICE,
            host = "10.1.0.1",
            port = number + 1,
            zone = ZONE,
            slots = slots,
            isDraining = false,
            startedAtMillis = 1,
            sequence = 1,
        )
        simulatedTargets[id] = SimulatedTarget(entry, time)
    }

    private fun publishTargets(spread: Int = 1) {
        val entries = simulatedTargets.values.map { it.entry }
        dispatchers.forEach { time.after(random.nextInt(spread).milliseconds) { it.targetsChanged(entries) } }
    }

    private fun limitWarmUp(limit: WarmUpLimit) =
        dispatchers.forEach { it.servicesChanged(mapOf(SERVICE to ServiceLimits(CONNECTION_LIMIT, limit))) }

    private fun scheduleArrival() {
        val gap = -ln(1.0 - random.nextDouble()) / requestsPerSecond
        time.after(gap.seconds) {
            receive()
            scheduleArrival()
        }
    }

    private fun receive() {
        val isHot = random.nextDouble() < hotShare
        val kind = if (isHot) kinds.first() else kindOf(random.nextDouble())
        val prompt = if (isHot) "hot" else "${kind.name}-${random.nextInt(kind.prompts)}"
        nextId += 1
        requests += 1
        dispatchers[random.nextInt(routers)].receive(
            DispatchRequest(
                id = ExchangeId(nextId),
                route = ROUTE,
                service = SERVICE,
                priority = 0,
                timeAllowed = ROUTE.timeout,
                promptKey = prompt,
            ),
            SimulatedRequest(
                promptKey = prompt,
                runTime = kind.meanRunTime * exp(SPREAD * gaussian() - SPREAD * SPREAD / 2) + HEAD_TIME,
                headTime = HEAD_TIME,
            ),
        )
    }

    private fun arrived(target: SimulatedTarget, request: SimulatedRequest) {
        val mean = simulatedTargets.values.sumOf { it.held }.toDouble() / simulatedTargets.size
        val bound = SETTINGS.imbalanceFactor * mean + BOUND_SLACK
        val isWarm = time.now >= origin + WARM_UP
        if (isWarm) record.add(time.now, isOverBound = target.held > bound)
        val key = checkNotNull(request.promptKey) to target.entry.id
        if (isWarm && servedAt[key].let { it == null || time.now - it > REUSE_WINDOW }) misses += 1
        servedAt[key] = time.now
    }

    private fun kindOf(position: Double): LoadKind {
        var remaining = position
        return kinds.first { kind ->
            remaining -= kind.share
            remaining < 0 || kind == kinds.last()
        }
    }

    private fun gaussian(): Double = List(12) { random.nextDouble() }.sum() - 6

    private companion object {
        val SERVICE = ServiceName("service")
        val ZONE = ZoneName("a")
        const val BOUND_SLACK = 3.0
        const val CONNECTION_LIMIT = 1_000
        const val SPREAD = 0.6
        val WARM_UP = 3.seconds
        val REUSE_WINDOW = 10.seconds
        val HEAD_TIME = 60.milliseconds
        val SETTINGS = DispatchSettings(zone = ZONE, imbalanceFactor = 2.0, retryRatio = 0.2, retrySlack = 2.0)
        val ROUTE = Route(
            name = "route",
            host = "host",
            prefix = "/",
            destinations = listOf(WeightedService(SERVICE, 1)),
            retryPolicy = RetryPolicy.AT_MOST_ONCE,
            isStream = true,
            timeout = 10.seconds,
            latencyObjective = 800.milliseconds,
            priority = 0,
            maximumAttempts = 1,
            isPublic = false,
            hasPromptAffinity = true,
        )
    }
}
