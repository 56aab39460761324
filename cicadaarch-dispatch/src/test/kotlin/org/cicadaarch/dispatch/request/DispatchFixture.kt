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

/** Runs a dispatch in virtual time and keeps the effects of the last event. */
internal class DispatchFixture(targets: List<TargetEntry>, slack: Double = 10.0) {
    private val reducer = DispatchReducer(
        DispatchSettings(zone = ZoneName("a"), imbalanceFactor = 2.0, retryRatio = 0.2, retrySlack = slack),
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

    /** Lets time pass, with every tick that is due on the way; keeps all their effects. */
    fun pass(duration: Duration) {
        val until = now + duration
        val passed = mutableListOf<DispatchEffect>()
        while (true) {
            val next = reducer.nextTick(state)?.takeIf { it <= until } ?: break
            now = maxOf(now, next)
            submit(DispatchEvent.Tick)
            passed += effects
        }
        now = until
        effects = passed
    }

    fun arrive(route: Route, promptKey: String? = null): ExchangeId {
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

    fun end(send: DispatchEffect.Send, result: AttemptResult) =
        submit(DispatchEvent.AttemptEnded(send.id, send.attempt, result))

    companion object {
        val SERVICE = ServiceName("desk")

        fun target(id: String, slots: Int = 4, isDraining: Boolean = false, startedAt: Long = 1, zone: String = "a") =
            TargetEntry(
                id = TargetId(id),
                service = SERVICE,
                host = "10.0.0.1",
                port = 80,
                zone = ZoneName(zone),
                slots = slots,
                isDraining = isDraining,
                startedAtMillis = startedAt,
                sequence = 1,
            )

        fun route(repetition: RetryPolicy, isStream: Boolean = false, maximumAttempts: Int = 2) = Route(
            name = "r",
            host = "h",
            prefix = "/",
            destinations = listOf(WeightedService(SERVICE, 1)),
            retryPolicy = repetition,
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
