package org.cicadaarch.dispatch.request

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.dispatch.routing.RetryPolicy
import org.cicadaarch.dispatch.routing.Route
import org.cicadaarch.dispatch.routing.WeightedService
import org.cicadaarch.dispatch.target.TargetEntry
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.ZoneName

/** Runs a [DispatchReducer] in virtual time and keeps the effects of the last call. */
internal class DispatchFixture(targets: List<TargetEntry>, retrySlack: Double = 10.0) {
    private val reducer = DispatchReducer(
        DispatchSettings(zone = ZoneName("a"), imbalanceFactor = 2.0, retryRatio = 0.2, retrySlack = retrySlack),
    )
    var state = DispatchState()
        private set
    var now = Timestamp(1_000)
        private set
    var effects = emptyList<DispatchEffect>()
        private set
    private var nextId = 0L

    init {
        submit(DispatchEvent.TargetsChanged(targets))
    }

    val lastSend: DispatchEffect.Send get() = effects.filterIsInstance<DispatchEffect.Send>().last()
    val lastFailure: RequestFailure get() = effects.filterIsInstance<DispatchEffect.Fail>().last().failure

    fun submit(event: DispatchEvent) {
        val step = reducer.reduce(state, event, now)
        state = step.state
        effects = step.effects
    }

    /** Advances the time by [duration], submits each tick that becomes due and keeps the effects of all of them. */
    fun advance(duration: Duration) {
        val end = now + duration
        val tickEffects = mutableListOf<DispatchEffect>()
        while (true) {
            val next = reducer.nextTick(state, now)?.takeIf { it <= end } ?: break
            now = maxOf(now, next)
            submit(DispatchEvent.Tick)
            tickEffects += effects
        }
        now = end
        effects = tickEffects
    }

    fun receive(route: Route, promptKey: String? = null): ExchangeId {
        nextId += 1
        val id = ExchangeId(nextId)
        submit(
            DispatchEvent.RequestReceived(
                DispatchRequest(
                    id = id,
                    route = route,
                    service = SERVICE,
                    priority = 0,
                    timeAllowed = route.timeout,
                    promptKey = promptKey,
                ),
            ),
        )
        return id
    }

    fun endAttempt(send: DispatchEffect.Send, result: AttemptResult) =
        submit(DispatchEvent.AttemptEnded(send.id, send.attempt, result))

    companion object {
        val SERVICE = ServiceName("service")

        fun target(
            id: String,
            slots: Int = 4,
            isDraining: Boolean = false,
            startedAtMillis: Long = 1,
            zone: String = "a",
            warmUpRemaining: Duration = Duration.ZERO,
        ) = TargetEntry(
            id = TargetId(id),
            service = SERVICE,
            host = "10.0.0.1",
            port = 80,
            zone = ZoneName(zone),
            slots = slots,
            isDraining = isDraining,
            startedAtMillis = startedAtMillis,
            sequence = 1,
            warmUpRemaining = warmUpRemaining,
        )

        fun route(retryPolicy: RetryPolicy, isStream: Boolean = false, maximumAttempts: Int = 2) = Route(
            name = "route",
            host = "host",
            prefix = "/",
            destinations = listOf(WeightedService(SERVICE, 1)),
            retryPolicy = retryPolicy,
            isStream = isStream,
            timeout = 600.milliseconds,
            latencyObjective = 100.milliseconds,
            priority = 0,
            maximumAttempts = maximumAttempts,
            isPublic = false,
            hasPromptAffinity = false,
        )
    }
}
