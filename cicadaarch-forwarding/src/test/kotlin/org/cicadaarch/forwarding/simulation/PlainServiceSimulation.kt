package org.cicadaarch.forwarding.simulation

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
import org.cicadaarch.dispatch.routing.WeightedService
import org.cicadaarch.dispatch.target.TargetEntry
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.ZoneName

/**
 * A fleet of [routers] in front of a plain service, whose requests have no prompt, with [targets] targets, in virtual
 * time. Each router knows its own requests, the reports in its own responses, and what other routers tell it. Requests
 * arrive at random times, at random routers. One router says that the target [liesAbout] is slow, if there is one.
 * All times count from the first request.
 */
internal class PlainServiceSimulation(
    private val routers: Int,
    private val targets: Int,
    private val requestsPerSecond: Double,
    seed: Long,
    private val unsafeShare: Double = UNSAFE_SHARE,
    liesAbout: TargetId? = null,
) {
    private val random = Random(seed)
    private val time = VirtualTime()
    private val arrivals = mutableListOf<Pair<Timestamp, TargetId>>()
    private val simulatedTargets = List(targets) { entry(it) }.associate { it.id to SimulatedTarget(it, time) }
    private val dispatchers = List(routers) {
        SimulatedDispatcher(SETTINGS, time, target = simulatedTargets::get) { target, _ ->
            arrivals += time.now to target.entry.id
            recordLoad(target)
        }
    }
    private val observed = dispatchers.mapIndexed { index, dispatcher ->
        if (liesAbout != null && index == routers / 2) FalseReports(dispatcher, liesAbout) else dispatcher
    }
    private val origin = SimulatedFleet(observed, time, Random(seed)).settle()
    private val record = LoadRecord()
    private var nextId = 0L

    /** Requests that no target was given. */
    val failures: Int get() = dispatchers.sumOf { it.failures }

    init {
        val entries = simulatedTargets.values.map { it.entry }
        dispatchers.forEach { time.after(1.milliseconds) { it.targetsChanged(entries) } }
        scheduleArrival()
    }

    /** From [start] for [duration], the target with [number] takes [factor] times as long as the others. */
    fun slowDown(number: Int, factor: Double, start: Duration, duration: Duration) {
        val id = simulatedTargets.keys.toList()[number]
        time.at(origin + start) { simulatedTargets.getValue(id).slowness = factor }
        time.at(origin + start + duration) { simulatedTargets.getValue(id).slowness = 1.0 }
    }

    /** From [start] on, the target with [number] takes [factor] times as long with more than [running] requests. */
    fun slowDownAbove(number: Int, running: Int, factor: Double, start: Duration) {
        val target = simulatedTargets.values.toList()[number]
        time.at(origin + start) {
            target.slowAbove = running
            target.slowness = factor
        }
    }

    /** Runs until [end]. */
    fun runUntil(end: Duration) = time.runUntil(origin + end)

    /** The share of the requests between [start] and [end] that reached the target with [number]. */
    fun share(number: Int, start: Duration, end: Duration): Double {
        val id = simulatedTargets.keys.toList()[number]
        val window = arrivals.filter { (at, _) -> at >= origin + start && at < origin + end }
        return window.count { it.second == id }.toDouble() / window.size
    }

    /** The worst five seconds: requests that reached a target over its load bound. */
    fun worstWindow(): LoadRecord.Window = record.worstWindow()

    private fun recordLoad(target: SimulatedTarget) {
        val mean = simulatedTargets.values.sumOf { it.held }.toDouble() / targets
        val bound = SETTINGS.imbalanceFactor * mean + BOUND_SLACK
        if (time.now >= origin + WARM_UP) record.add(time.now, isOverBound = target.held > bound)
    }

    private fun entry(number: Int) = TargetEntry(
        id = TargetId("target-$number"),
        service = SERVICE,
        host = "10.1.0.1",
        port = number + 1,
        zone = ZONE,
        slots = SLOTS,
        isDraining = false,
        startedAtMillis = 1,
        sequence = 1,
    )

    private fun scheduleArrival() {
        time.after((-ln(1.0 - random.nextDouble()) / requestsPerSecond).seconds) {
            receive()
            scheduleArrival()
        }
    }

    private fun receive() {
        nextId += 1
        val route = if (random.nextDouble() < unsafeShare) UNSAFE else SAFE
        val workTime = WORK_TIME * (0.5 + random.nextDouble())
        dispatchers[random.nextInt(routers)].receive(
            DispatchRequest(ExchangeId(nextId), route, SERVICE, priority = 0, route.timeout, promptKey = null),
            SimulatedRequest(promptKey = null, runTime = workTime, headTime = workTime),
        )
    }

    private companion object {
        val SERVICE = ServiceName("service")
        val ZONE = ZoneName("a")
        const val BOUND_SLACK = 3.0
        val WARM_UP = 3.seconds
        val WORK_TIME = 80.milliseconds
        const val SLOTS = 6
        const val UNSAFE_SHARE = 0.7
        val SETTINGS = DispatchSettings(zone = ZONE, imbalanceFactor = 2.0, retryRatio = 0.2, retrySlack = 2.0)
        val UNSAFE = route(RetryPolicy.AT_MOST_ONCE)
        val SAFE = route(RetryPolicy.IDEMPOTENT)

        fun route(retryPolicy: RetryPolicy) = Route(
            name = "route",
            host = "host",
            prefix = "/",
            destinations = listOf(WeightedService(SERVICE, 1)),
            retryPolicy = retryPolicy,
            isStream = false,
            timeout = 10.seconds,
            latencyObjective = 400.milliseconds,
            priority = 0,
            maximumAttempts = 1,
            isPublic = false,
            hasPromptAffinity = false,
        )
    }
}
