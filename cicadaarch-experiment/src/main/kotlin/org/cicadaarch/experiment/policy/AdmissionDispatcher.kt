package org.cicadaarch.experiment.policy

import java.util.SplittableRandom
import kotlin.time.Duration.Companion.microseconds
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.cicadaarch.admission.AdmissionEffect
import org.cicadaarch.admission.AdmissionEvent
import org.cicadaarch.admission.AdmissionMessage
import org.cicadaarch.admission.AdmissionReducer
import org.cicadaarch.admission.AdmissionState
import org.cicadaarch.admission.HeldPermit
import org.cicadaarch.admission.PermitRefusal
import org.cicadaarch.admission.TargetOwnership
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.TargetId
import org.cicadaarch.placement.Candidate
import org.cicadaarch.placement.TargetHistory
import org.cicadaarch.placement.TargetRanking

/**
 * The real admission reducer in the loop: every router runs one, and an ingress that asks the owners in turn.
 */
internal class AdmissionDispatcher(
    run: PolicyRun,
    private val reducer: AdmissionReducer,
    private val refused: (Turn) -> Unit,
    private val steadies: Boolean,
    seed: Long,
) : Dispatcher {
    private val scenario = run.scenario
    private val clock = run.clock
    private val measurements = run.measurements
    private val random = SplittableRandom(seed)
    private val fleet = FleetModel(scenario)
    private val states = Array(scenario.routers) { AdmissionState(view = fleet.view(it), fleet = null) }
    private val views = arrayOfNulls<Int>(scenario.routers)
    private val owners = HashMap<Pair<Int?, TargetId>, Int>()
    private val lost = BooleanArray(scenario.routers)
    private val searches = HashMap<AttemptId, Search>()
    private val held = Array(scenario.routers) { LinkedHashMap<AttemptId, Search>() }
    private var engines = emptyMap<TargetId, EngineModel>()
    override val waiting: Int get() = searches.size - held.sumOf { it.size }
    override var controlBytes = 0L
        private set

    init {
        states.indices.forEach { router ->
            val phase = random.nextLong(TICK)
            clock.schedule(phase) {
                clock.every(TICK, scenario.duration) { handle(router, AdmissionEvent.Tick) }
                clock.every(RENEWAL, scenario.duration) { renew(router) }
            }
        }
        clock.every(REPORT_PERIOD, scenario.duration, ::reportLoads)
    }

    override fun offer(turn: Turn) {
        turn.attempt++
        val attempt = AttemptId(RequestId("%016x".format(turn.id)), turn.attempt)
        val order = TargetRanking.forChat(
            account = fleet.accountId(turn.account),
            chat = fleet.chatId(turn.chat),
            candidates = engines.map { (target, engine) -> candidate(target, engine) },
            region = null,
        )
        val search = Search(attempt, turn, order)
        searches[attempt] = search
        ask(search, order.first())
    }

    override fun finished(turn: Turn) {
        val attempt = AttemptId(RequestId("%016x".format(turn.id)), turn.attempt)
        val search = searches.remove(attempt) ?: return
        held[turn.router].remove(attempt)
        sendToOwner(turn.router, search.asked, released(attempt, search))
    }

    private fun candidate(target: TargetId, engine: EngineModel): Candidate {
        val history = TargetHistory((clock.now - engine.upSince).microseconds, engine.failures)
        return Candidate(target, engine.slots.toDouble(), weightFactor = if (steadies) history.weightFactor else 1.0)
    }

    private fun released(attempt: AttemptId, search: Search): AdmissionMessage {
        val firstToken = search.turn.firstTokenAt?.let { (it - search.grantedAt).microseconds }
        return AdmissionMessage.PermitReleased(attempt, search.asked, firstToken)
    }

    override fun enginesChanged(engines: List<EngineModel>) {
        this.engines = engines.filter { it.open }.associateBy { TargetId(it.name) }
        val document = fleet.document(engines)
        states.indices.forEach { router ->
            clock.schedule(clock.now + random.nextLong(MICROSECONDS_PER_SECOND)) {
                handle(router, AdmissionEvent.FleetChanged(document))
            }
        }
    }

    override fun churn(event: Churn) {
        when (event) {
            is Churn.ViewSplit -> {
                states.indices.filter { it % 2 == 1 && it != event.router }.forEach { changeView(it, event.router) }
                clock.schedule(event.until) { states.indices.forEach { changeView(it, null) } }
            }

            is Churn.RouterLost -> {
                lost[event.router] = true
                states.indices.forEach { router ->
                    clock.schedule(clock.now + random.nextLong(2 * MICROSECONDS_PER_SECOND)) {
                        changeView(router, event.router)
                    }
                }
            }

            else -> Unit
        }
    }

    private fun changeView(router: Int, without: Int?) {
        views[router] = without
        handle(router, AdmissionEvent.RoutersChanged(fleet.view(router, without)))
    }

    private fun reportLoads() {
        engines.forEach { (target, engine) ->
            val report = AdmissionEvent.LoadReported(target, engine.running, engine.queued)
            views.toSet().map { owner(it, target) }.toSet().forEach { owner ->
                clock.schedule(clock.now + REPORT_LAG) { handle(owner, report) }
            }
        }
    }

    private fun owner(without: Int?, target: TargetId): Int = owners.getOrPut(without to target) {
        fleet.routerNumber(checkNotNull(TargetOwnership.ownerOf(target, fleet.view(self = 0, without))))
    }

    private fun ask(search: Search, target: TargetId) {
        search.asked = target
        search.tried += target
        val waited = clock.now - search.turn.arrivedAt
        val demand = search.demand(fleet, (scenario.timeAllowed - waited).microseconds)
        search.unanswered = true
        val number = ++search.asks
        sendToOwner(search.turn.router, target, AdmissionMessage.PermitRequest(search.attempt, target, demand))
        clock.schedule(clock.now + ANSWER_TIMEOUT) {
            if (search.unanswered && search.asks == number && search.attempt in searches) ask(search, target)
        }
    }

    private fun answered(message: AdmissionMessage) {
        when (message) {
            is AdmissionMessage.PermitGranted -> granted(message)

            is AdmissionMessage.PermitQueued -> searches[message.attempt]?.unanswered = false

            is AdmissionMessage.PermitRedirected ->
                current(message.attempt, message.target)?.let {
                    it.spills++
                    if (message.hintRanChat) it.ranChat = message.hint
                    if (message.hasFreeSlots) it.tried -= message.target
                    next(it, message.hint)
                }

            is AdmissionMessage.PermitRefused -> current(message.attempt, message.target)?.let {
                if (message.reason == PermitRefusal.LATE) it.late++
                if (message.reason == PermitRefusal.NOT_OWNER) retryLater(it) else next(it, null)
            }

            else -> Unit
        }
    }

    private fun current(attempt: AttemptId, target: TargetId) =
        searches[attempt]?.takeIf { it.asked == target && attempt !in held[it.turn.router] }

    private fun granted(message: AdmissionMessage.PermitGranted) {
        val search = current(message.attempt, message.target) ?: return
        search.unanswered = false
        search.grantedAt = clock.now
        held[search.turn.router][search.attempt] = search
        val engine = engines[message.target]
        if (engine == null) {
            finished(search.turn)
            offer(search.turn)
        } else {
            if (search.spills > 0) reportPlace(search)
            measurements.granted(engine, engines.values, clock.now)
            engine.submit(search.turn)
        }
    }

    private fun reportPlace(search: Search) {
        val home = search.order.first()
        if (search.asked == home) return
        val account = fleet.accountId(search.turn.account)
        val chat = fleet.chatId(search.turn.chat)
        sendToOwner(search.turn.router, home, AdmissionMessage.ChatPlaced(home, account, chat, search.asked))
    }

    private fun next(search: Search, hint: TargetId?) {
        search.unanswered = false
        val untried = search.order.filter { it !in search.tried && it in engines }
        val target = hint?.takeIf { it in untried } ?: untried.firstOrNull()
        if (target == null || search.late >= LATE_ANSWERS) {
            searches.remove(search.attempt)
            refused(search.turn)
        } else {
            ask(search, target)
        }
    }

    private fun retryLater(search: Search) {
        search.unanswered = false
        val number = search.asks
        clock.schedule(clock.now + RETRY_PAUSE) {
            if (search.asks == number && search.attempt in searches) ask(search, search.asked)
        }
    }

    private fun renew(router: Int) = held[router].values.groupBy { it.asked }.forEach { (target, held) ->
        sendToOwner(
            router,
            target,
            AdmissionMessage.PermitsRenewed(target, held.map { HeldPermit(it.attempt, it.demand(fleet)) }),
        )
    }

    private fun sendToOwner(router: Int, target: TargetId, message: AdmissionMessage) =
        send(router, owner(views[router], target), message)

    @OptIn(ExperimentalSerializationApi::class)
    private fun send(from: Int, to: Int, message: AdmissionMessage) {
        val latency = if (from == to) 0L else MINIMUM_LATENCY + random.nextLong(LATENCY_SPREAD)
        if (from != to) controlBytes += Cbor.encodeToByteArray(AdmissionMessage.serializer(), message).size
        if (lost[from] && from != to) return
        clock.schedule(clock.now + latency) { receive(from, to, message) }
    }

    private fun receive(from: Int, to: Int, message: AdmissionMessage) = when (message) {
        is AdmissionMessage.PermitGranted,
        is AdmissionMessage.PermitQueued,
        is AdmissionMessage.PermitRedirected,
        is AdmissionMessage.PermitRefused,
        -> answered(message)

        else -> handle(to, AdmissionEvent.Received(fleet.routerId(from), message))
    }

    private fun handle(router: Int, event: AdmissionEvent) {
        if (lost[router]) return
        val step = reducer.reduce(states[router], event, clock.timestamp)
        states[router] = step.state
        step.effects.forEach { effect ->
            when (effect) {
                is AdmissionEffect.Send -> send(router, fleet.routerNumber(effect.to), effect.message)
            }
        }
    }

    private companion object {
        const val TICK = 100 * MICROSECONDS_PER_MILLISECOND
        const val RENEWAL = 3 * MICROSECONDS_PER_SECOND
        const val MINIMUM_LATENCY = 500L
        const val LATENCY_SPREAD = 500L
        const val ANSWER_TIMEOUT = 300 * MICROSECONDS_PER_MILLISECOND
        const val LATE_ANSWERS = 3
        const val RETRY_PAUSE = 200 * MICROSECONDS_PER_MILLISECOND
    }
}
