package org.cicadaarch.experiment.policy

import java.util.SplittableRandom
import kotlin.math.ln
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.fleet.Account
import org.cicadaarch.model.fleet.AccountLimits
import org.cicadaarch.quota.QuotaDecision
import org.cicadaarch.quota.QuotaEffect
import org.cicadaarch.quota.QuotaEvent
import org.cicadaarch.quota.QuotaMessage
import org.cicadaarch.quota.QuotaReducer
import org.cicadaarch.quota.QuotaState

/**
 * One account of [limit] requests a second, offered [load] times as much over [routers]; with [uneven] four fifths of
 * it come to a fifth of the routers.
 */
internal class QuotaRun(
    private val routers: Int,
    private val uneven: Boolean,
    private val limit: Double,
    private val load: Double,
    seed: Long,
) {
    private val clock = VirtualClock()
    private val random = SplittableRandom(seed)
    private val fleet = FleetModel(Scenarios.all.first().copy(routers = routers))
    private val limits = AccountLimits(requestsPerSecond = limit, requestBurst = limit.toInt())
    private val account = AccountId("account")
    private val reducer = QuotaReducer()
    private val states = Array(routers) { QuotaState(fleet.view(it), document()) }
    private val admitted = IntArray(SECONDS)
    private val offered = IntArray(SECONDS)
    private var bytes = 0L

    fun run(): String {
        states.indices.forEach { router ->
            clock.schedule(random.nextLong(TICK)) {
                clock.every(TICK, SECONDS * MICROSECONDS_PER_SECOND) { handle(router, QuotaEvent.Tick) }
            }
        }
        arrive()
        clock.runUntil(SECONDS * MICROSECONDS_PER_SECOND - 1)
        val measured = MEASURED_FROM until SECONDS
        val entitled = minOf(measured.sumOf { offered[it] }.toDouble(), limit * measured.count())
        return "%7d %-6s %6.0f %14.1f %18.3f %21.2f %15.0f".format(
            routers,
            if (uneven) "uneven" else "even",
            limit,
            load,
            measured.sumOf { admitted[it] } / entitled,
            measured.maxOf { admitted[it] } / limit,
            bytes.toDouble() / routers / SECONDS,
        )
    }

    private fun arrive() {
        val pause = -ln(1.0 - random.nextDouble()) / (limit * load) * MICROSECONDS_PER_SECOND
        clock.schedule(clock.now + pause.toLong()) {
            val few = maxOf(1, routers / 5)
            val router = if (uneven && random.nextDouble() < 0.8) random.nextInt(few) else random.nextInt(routers)
            count(offered)
            attempt(router, arrivedAt = clock.now)
            arrive()
        }
    }

    /** Tries to start a request, and again when the verdict says, within the time allowed. */
    private fun attempt(router: Int, arrivedAt: Long) {
        val verdict = reducer.check(states[router], account, TOKENS, clock.timestamp)
        val allowed = verdict is QuotaDecision.Allowed
        if (allowed || clock.now == arrivedAt) handle(router, QuotaEvent.RequestChecked(account, TOKENS, allowed))
        if (verdict is QuotaDecision.Limited) {
            val retryAt = clock.now + maxOf(RETRY, verdict.retryAfter.inWholeMicroseconds)
            if (retryAt < arrivedAt + ALLOWED) clock.schedule(retryAt) { attempt(router, arrivedAt) }
            return
        }
        count(admitted)
        clock.schedule(clock.now + SERVICE) { handle(router, QuotaEvent.RequestEnded(account)) }
    }

    private fun count(counts: IntArray) {
        val second = (clock.now / MICROSECONDS_PER_SECOND).toInt()
        if (second < SECONDS) counts[second]++
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun handle(router: Int, event: QuotaEvent) {
        val step = reducer.reduce(states[router], event, clock.timestamp)
        states[router] = step.state
        step.effects.filterIsInstance<QuotaEffect.Send>().forEach { effect ->
            val to = fleet.routerNumber(effect.to)
            if (to != router) bytes += Cbor.encodeToByteArray(QuotaMessage.serializer(), effect.message).size
            val received = QuotaEvent.Received(fleet.routerId(router), effect.message)
            clock.schedule(clock.now + LATENCY) { handle(to, received) }
        }
    }

    private fun document() =
        fleet.document(emptyList()).copy(accounts = mapOf(account to Account(emptyList(), limits = limits)))

    private companion object {
        const val SECONDS = 40
        const val MEASURED_FROM = 10
        const val TOKENS = 500
        const val TICK = 100 * MICROSECONDS_PER_MILLISECOND
        const val SERVICE = 2 * MICROSECONDS_PER_SECOND
        const val ALLOWED = 10 * MICROSECONDS_PER_SECOND
        const val RETRY = 50 * MICROSECONDS_PER_MILLISECOND
        const val LATENCY = 1 * MICROSECONDS_PER_MILLISECOND
    }
}
