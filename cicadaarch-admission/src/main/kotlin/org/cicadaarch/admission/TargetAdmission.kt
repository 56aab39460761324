package org.cicadaarch.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.admission.AdmissionMessage.PermitGranted
import org.cicadaarch.admission.AdmissionMessage.PermitQueued
import org.cicadaarch.admission.AdmissionMessage.PermitRedirected
import org.cicadaarch.admission.AdmissionMessage.PermitRefused
import org.cicadaarch.admission.AdmissionMessage.PermitReleased
import org.cicadaarch.admission.AdmissionMessage.PermitRequest
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.Step
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * The decisions of one target's admission owner.
 */
internal class TargetAdmission(private val settings: AdmissionSettings) {
    /** Grants, queues, spills or refuses [request] from [from]. */
    fun requested(
        load: TargetLoad,
        context: TargetContext,
        from: RouterId,
        request: PermitRequest,
        now: Timestamp,
    ): Step<TargetLoad, AdmissionEffect> {
        val attempt = request.attempt
        val demand = request.demand
        val earlierPlace = earlierPlace(load, context, demand)
        return when {
            attempt in load.permits -> Step(renew(load, from, attempt, now), listOf(granted(from, attempt, context)))

            attempt in load.queue.entries -> Step(load, listOf(queued(from, attempt, load, context, now)))

            attempt in load.ended || context.target.leaving -> Step(load, listOf(gone(from, attempt, context)))

            earlierPlace != null && demand.redirects == 0 -> {
                val hasFreeSlots = hasRoom(load, context, now)
                val spill = PermitRedirected(attempt, context.id, earlierPlace, hasFreeSlots, hintRanChat = true)
                Step(load, listOf(send(from, spill)))
            }

            load.queue.isEmpty && isOpenTo(load, context, demand, now) ->
                grant(load, context, from, attempt, demand, now)

            else -> withoutRoom(load, context, waiting(attempt, from, demand, now), now)
        }
    }

    /** Ends the permit or the place in the queue that [message] names and gives its room to the next. */
    fun released(
        load: TargetLoad,
        context: TargetContext,
        message: PermitReleased,
        now: Timestamp,
    ): Step<TargetLoad, AdmissionEffect> {
        val attempt = message.attempt
        val permit = load.permits[attempt]
        val hold = permit?.grantedAt?.let { now - it }
        val left = load.copy(
            permits = load.permits.remove(attempt),
            queue = load.queue.minus(attempt),
            ended = load.ended.put(attempt, now + settings.permitLease),
            dueTimes = load.dueTimes.plus(attempt, now + settings.permitLease),
            meanHold = if (hold == null) load.meanHold else smoothed(load.meanHold, hold),
            meanFirstToken = message.timeToFirstToken?.let { smoothed(load.meanFirstToken, it) } ?: load.meanFirstToken,
        )
        return drained(left, context, now)
    }

    /** Takes over or renews the [permits] that ingresses hold. */
    fun renewed(load: TargetLoad, permits: List<HandedOverPermit>, now: Timestamp): TargetLoad {
        val live = permits.filter { it.permit.attempt !in load.ended }
        val adopted = live.count { it.permit.attempt !in load.permits }
        val lapsesAt = now + settings.permitLease
        val renewed = live.fold(load) { left, handed ->
            val attempt = handed.permit.attempt
            val permit = left.permits[attempt]?.copy(lapsesAt = lapsesAt)
                ?: Permit(handed.holder, handed.permit.demand, lapsesAt)
            left.copy(
                permits = left.permits.put(attempt, permit),
                queue = left.queue.minus(attempt),
                dueTimes = if (attempt in left.permits) left.dueTimes else left.dueTimes.plus(attempt, lapsesAt),
            )
        }
        return renewed.copy(
            foreign = maxOf(0, load.foreign - adopted),
            recentPeak = renewed.recentPeak.seen(renewed.permits.size, now),
        )
    }

    /** Compares the target's own [inFlight] count, some time old, with the permits granted here. */
    fun reported(
        load: TargetLoad,
        context: TargetContext,
        inFlight: Int,
        now: Timestamp,
    ): Step<TargetLoad, AdmissionEffect> {
        val foreign = maxOf(0, inFlight - load.recentPeak.value)
        return drained(load.copy(foreign = foreign, presumed = false), context, now)
    }

    /** Ends lapsed permits, refuses overdue requests and serves the queue. */
    fun ticked(load: TargetLoad, context: TargetContext, now: Timestamp): Step<TargetLoad, AdmissionEffect> {
        val due = load.dueTimes.due(now).distinct()
        val start = Step<TargetLoad, AdmissionEffect>(
            load.copy(
                dueTimes = if (due.isEmpty()) load.dueTimes else load.dueTimes.after(now),
                recentPeak = load.recentPeak.seen(load.permits.size, now),
            ).withoutStalePresumption(now),
        )
        val checked = due.fold(start) { step, attempt ->
            val (state, effects) = dueLooked(step.state, context, attempt, now)
            Step(state, step.effects + effects)
        }
        val (state, effects) = drained(checked.state, context, now)
        return Step(state, checked.effects + effects)
    }

    /** Grants from the queue while there is room. */
    fun drained(load: TargetLoad, context: TargetContext, now: Timestamp): Step<TargetLoad, AdmissionEffect> {
        var state = load
        val effects = mutableListOf<AdmissionEffect>()
        while (!state.queue.isEmpty && hasRoom(state, context, now)) {
            val next = checkNotNull(state.queue.first())
            state = state.copy(queue = state.queue.minus(next.attempt))
            if (isOverdue(state, next, now)) {
                effects += refused(next, context, PermitRefusal.LATE)
            } else {
                val step = grant(state, context, next.holder, next.attempt, next.demand, now)
                state = step.state
                effects += step.effects
            }
        }
        return Step(state, effects)
    }

    /** Sends the next waiting requests to the targets with free slots, one to each, if this one has none. */
    fun rebalanced(load: TargetLoad, context: TargetContext, now: Timestamp): Step<TargetLoad, AdmissionEffect> {
        val roomy = context.mean?.roomy.orEmpty().filter { it != context.id }
        return roomy.fold(drained(load, context, now)) { step, hint -> moved(step, context, hint, now) }
    }

    /** Refuses all waiting requests for [reason]. */
    fun refuseAll(load: TargetLoad, context: TargetContext, reason: PermitRefusal): Step<TargetLoad, AdmissionEffect> =
        Step(load.copy(queue = FairQueue()), load.queue.entries.values.map { refused(it, context, reason) })

    private fun waiting(attempt: AttemptId, from: RouterId, demand: PermitDemand, now: Timestamp) = QueuedRequest(
        attempt = attempt,
        holder = from,
        account = sharing(demand),
        demand = demand,
        queuedAt = now,
        deadline = now + demand.timeAllowed,
    )

    private fun sharing(demand: PermitDemand): AccountId = if (settings.usesFairQueueing) demand.account else EVERYONE

    private fun withoutRoom(
        load: TargetLoad,
        context: TargetContext,
        request: QueuedRequest,
        now: Timestamp,
    ): Step<TargetLoad, AdmissionEffect> {
        val blocked = load.copy(blocked = true)
        val demand = request.demand
        val wait = expectedWait(blocked, context, demand, now)
        val saturated = LoadBound.saturated(load, context, now)
        val patience = patienceOf(demand)
        val patient = wait <= patience
        val spilledOut = demand.redirects >= minOf(settings.maximumSpills, context.groupSize.targets - 1)
        return when {
            !saturated && !spilledOut && !patient ->
                Step(blocked, listOf(send(request.holder, spill(blocked, context, request))))

            saturated && wait * EARLY_FACTOR + load.meanFirstToken > demand.timeAllowed ->
                Step(blocked, listOf(refused(request, context, PermitRefusal.LATE)))

            load.queue.size >= settings.queuePerSlot * context.target.capacity ->
                enqueueInFull(blocked, context, request.copy(staysUntil = now + patience), now)

            else -> enqueue(blocked, context, request.copy(staysUntil = now + patience), now)
        }
    }

    private fun patienceOf(demand: PermitDemand): Duration =
        if (demand.isReturning && (demand.isHome || demand.ranChat)) {
            settings.prefillTimePerToken * demand.promptTokens
        } else {
            Duration.ZERO
        }

    private fun moved(
        step: Step<TargetLoad, AdmissionEffect>,
        context: TargetContext,
        hint: TargetId,
        now: Timestamp,
    ): Step<TargetLoad, AdmissionEffect> {
        val next = step.state.queue.first()?.takeIf { it.staysUntil <= now && mayMove(it, context) } ?: return step
        val spill = send(next.holder, PermitRedirected(next.attempt, context.id, hint))
        return Step(step.state.copy(queue = step.state.queue.minus(next.attempt)), step.effects + spill)
    }

    private fun spill(load: TargetLoad, context: TargetContext, request: QueuedRequest): PermitRedirected {
        val remembered = earlierPlace(load, context, request.demand)
        val roomy = context.mean?.roomy.orEmpty().filter { it != context.id }
        val roomiest = roomy.getOrNull(Math.floorMod(request.attempt.hashCode(), maxOf(1, roomy.size)))
        val hint = remembered ?: roomiest.takeIf { request.demand.redirects > 0 }
        return PermitRedirected(request.attempt, context.id, hint, hintRanChat = remembered != null)
    }

    private fun enqueueInFull(
        load: TargetLoad,
        context: TargetContext,
        request: QueuedRequest,
        now: Timestamp,
    ): Step<TargetLoad, AdmissionEffect> {
        val displaced = load.queue.givesWayTo(request.account, context::weightOf)
            ?: return Step(load, listOf(refused(request, context, PermitRefusal.QUEUE_FULL)))
        val shorter = load.copy(queue = load.queue.minus(displaced.attempt))
        val (state, effects) = enqueue(shorter, context, request, now)
        return Step(state, listOf(refused(displaced, context, PermitRefusal.QUEUE_FULL)) + effects)
    }

    private fun enqueue(
        load: TargetLoad,
        context: TargetContext,
        request: QueuedRequest,
        now: Timestamp,
    ): Step<TargetLoad, AdmissionEffect> {
        val state = load.copy(
            queue = load.queue.plus(request),
            dueTimes = load.dueTimes.plus(request.attempt, minOf(request.staysUntil, request.deadline)),
        )
        val (drained, effects) = drained(state, context, now)
        return Step(drained, listOf(queued(request.holder, request.attempt, state, context, now)) + effects)
    }

    private fun grant(
        load: TargetLoad,
        context: TargetContext,
        holder: RouterId,
        attempt: AttemptId,
        demand: PermitDemand,
        now: Timestamp,
    ): Step<TargetLoad, AdmissionEffect> {
        val lapsesAt = now + settings.permitLease
        val permits = load.permits.put(attempt, Permit(holder, demand, lapsesAt, grantedAt = now))
        val state = load.copy(
            permits = permits,
            queue = load.queue.charged(sharing(demand), workOf(demand), context.weightOf(demand.account)),
            dueTimes = load.dueTimes.plus(attempt, lapsesAt),
            recentPeak = load.recentPeak.seen(permits.size, now),
            spills = if (demand.isHome) withoutChat(load.spills, demand) else load.spills,
        )
        return Step(state, listOf(granted(holder, attempt, context)))
    }

    private fun dueLooked(
        load: TargetLoad,
        context: TargetContext,
        attempt: AttemptId,
        now: Timestamp,
    ): Step<TargetLoad, AdmissionEffect> {
        val permit = load.permits[attempt]
        val waiting = load.queue.entries[attempt]
        return when {
            permit != null && permit.lapsesAt <= now -> Step(load.copy(permits = load.permits.remove(attempt)))

            permit != null -> Step(load.copy(dueTimes = load.dueTimes.plus(attempt, permit.lapsesAt)))

            waiting != null && waiting.deadline <= now -> Step(
                load.copy(queue = load.queue.minus(attempt)),
                listOf(refused(waiting, context, PermitRefusal.LATE)),
            )

            waiting != null && mayMove(waiting, context) && isImpatient(waiting, load, context, now) -> Step(
                load.copy(queue = load.queue.minus(attempt)),
                listOf(send(waiting.holder, spill(load, context, waiting))),
            )

            waiting != null -> Step(load.copy(dueTimes = load.dueTimes.plus(attempt, nextLook(waiting, now))))

            else -> Step(if (load.endedBefore(attempt, now)) load.copy(ended = load.ended.remove(attempt)) else load)
        }
    }

    private fun isImpatient(waiting: QueuedRequest, load: TargetLoad, context: TargetContext, now: Timestamp): Boolean =
        waiting.staysUntil <= now && !LoadBound.saturated(load, context, now)

    /** Whether a target is left that has not spilled [waiting] yet. */
    private fun mayMove(waiting: QueuedRequest, context: TargetContext): Boolean =
        waiting.demand.redirects < minOf(2 * settings.maximumSpills, context.groupSize.targets - 1)

    private fun nextLook(waiting: QueuedRequest, now: Timestamp): Timestamp =
        if (waiting.staysUntil > now) minOf(waiting.staysUntil, waiting.deadline) else waiting.deadline

    private fun renew(load: TargetLoad, holder: RouterId, attempt: AttemptId, now: Timestamp): TargetLoad {
        val permit = load.permits.getValue(attempt).copy(holder = holder, lapsesAt = now + settings.permitLease)
        return load.copy(permits = load.permits.put(attempt, permit))
    }

    private fun hasRoom(load: TargetLoad, context: TargetContext, now: Timestamp): Boolean {
        val limit = if (settings.enforcesLoadBound) LoadBound.limit(load, context, now) else context.target.capacity
        return !context.target.leaving && load.carried < limit
    }

    /** Whether there is room, other than the last slots which chats without a prefix leave to those that return. */
    private fun isOpenTo(load: TargetLoad, context: TargetContext, demand: PermitDemand, now: Timestamp): Boolean {
        val mayFill = demand.isReturning || demand.redirects > 0
        return hasRoom(load, context, now) &&
            (mayFill || load.carried < LoadBound.newChatLimit(load, context, settings, now))
    }

    private fun earlierPlace(load: TargetLoad, context: TargetContext, demand: PermitDemand) =
        if (settings.redirectsToLastTarget && demand.isHome && demand.isReturning) {
            demand.chat?.let { load.spills.find(ChatKey(demand.account, it)) }?.takeIf { it != context.id }
        } else {
            null
        }

    private fun withoutChat(spills: SpillMemory, demand: PermitDemand): SpillMemory =
        demand.chat?.let { spills.forget(ChatKey(demand.account, it)) } ?: spills

    private fun expectedWait(
        load: TargetLoad,
        context: TargetContext,
        demand: PermitDemand,
        now: Timestamp,
    ): Duration {
        val slots = maxOf(1, LoadBound.limit(load, context, now))
        return load.meanHold * (load.queue.ahead(sharing(demand), context::weightOf) + 1) / slots
    }

    private fun isOverdue(load: TargetLoad, request: QueuedRequest, now: Timestamp): Boolean =
        request.deadline <= now + load.meanFirstToken * FIRST_TOKEN_MARGIN

    private fun TargetLoad.endedBefore(attempt: AttemptId, now: Timestamp): Boolean =
        ended[attempt]?.let { it <= now } ?: false

    private fun TargetLoad.withoutStalePresumption(now: Timestamp): TargetLoad =
        if (presumed && now - ownedSince > PRESUMED_FOR) copy(foreign = 0, presumed = false) else this

    private fun granted(to: RouterId, attempt: AttemptId, context: TargetContext) =
        send(to, PermitGranted(attempt, context.id, settings.permitLease))

    private fun queued(to: RouterId, attempt: AttemptId, load: TargetLoad, context: TargetContext, now: Timestamp) =
        send(
            to,
            PermitQueued(
                attempt,
                context.id,
                expectedWait(load, context, load.queue.entries.getValue(attempt).demand, now),
            ),
        )

    private fun gone(to: RouterId, attempt: AttemptId, context: TargetContext) =
        send(to, PermitRefused(attempt, context.id, PermitRefusal.TARGET_GONE))

    private fun refused(request: QueuedRequest, context: TargetContext, reason: PermitRefusal) =
        send(request.holder, PermitRefused(request.attempt, context.id, reason))

    private fun send(to: RouterId, message: AdmissionMessage) = AdmissionEffect.Send(to, message)

    private fun workOf(demand: PermitDemand): Double =
        1.0 + demand.outputTokens + demand.promptTokens / PROMPT_TOKENS_PER_OUTPUT_TOKEN

    private fun smoothed(mean: Duration, latest: Duration): Duration = mean + (latest - mean) / SMOOTHING

    private companion object {
        /** Predicted waits count by this factor, so that only what is clearly late is refused early. */
        const val EARLY_FACTOR = 0.8
        val EVERYONE = AccountId("")
        const val FIRST_TOKEN_MARGIN = 2
        const val SMOOTHING = 16
        const val PROMPT_TOKENS_PER_OUTPUT_TOKEN = 100.0
        val PRESUMED_FOR = 2.seconds
    }
}
