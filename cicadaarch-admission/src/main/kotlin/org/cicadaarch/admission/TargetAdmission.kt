package org.cicadaarch.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.admission.AdmissionMessage.PermitRedirected
import org.cicadaarch.admission.AdmissionMessage.PermitReleased
import org.cicadaarch.admission.AdmissionMessage.PermitRequest
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.Step
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * The admission decisions for a single target.
 */
internal class TargetAdmission(private val settings: AdmissionSettings) {
    private val slots = SlotPolicy(settings)
    private val redirects = RedirectPolicy(settings)

    /** Grants, queues, redirects or refuses [request] from the ingress on router [from]. */
    fun requestPermit(
        state: TargetAdmissionState,
        context: TargetContext,
        from: RouterId,
        request: PermitRequest,
        now: Timestamp,
    ): Step<TargetAdmissionState, AdmissionEffect> {
        val attempt = request.attempt
        val demand = request.demand
        val lastTarget = redirects.lastTargetOf(state, context, demand)
        return when {
            attempt in state.permits -> Step(
                renew(state, from, attempt, now),
                listOf(AdmissionReplies.granted(from, attempt, context, settings.permitLease)),
            )

            attempt in state.queue.entries -> Step(state, listOf(queuedReply(from, attempt, state, context, now)))

            attempt in state.recentlyEnded || context.target.leaving ->
                Step(state, listOf(AdmissionReplies.targetGone(from, attempt, context)))

            lastTarget != null && demand.redirects == 0 -> {
                val hasFreeSlots = slots.hasFreeSlot(state, context, now)
                val redirect = PermitRedirected(attempt, context.id, lastTarget, hasFreeSlots, hintRanChat = true)
                Step(state, listOf(AdmissionReplies.redirected(from, redirect)))
            }

            state.queue.isEmpty && slots.canGrant(state, context, demand, now) ->
                grant(state, context, from, attempt, demand, now)

            else -> deferOrRefuse(state, context, queuedRequest(attempt, from, demand, now), now)
        }
    }

    /** Ends the permit or the queued request that [message] names, and serves the queue. */
    fun releasePermit(
        state: TargetAdmissionState,
        context: TargetContext,
        message: PermitReleased,
        now: Timestamp,
    ): Step<TargetAdmissionState, AdmissionEffect> {
        val attempt = message.attempt
        val permit = state.permits[attempt]
        val hold = permit?.grantedAt?.let { now - it }
        val updated = state.copy(
            permits = state.permits.remove(attempt),
            queue = state.queue.minus(attempt),
            recentlyEnded = state.recentlyEnded.put(attempt, now + settings.permitLease),
            timers = state.timers.schedule(attempt, now + settings.permitLease),
            meanHoldTime = if (hold == null) state.meanHoldTime else smoothed(state.meanHoldTime, hold),
            meanTimeToFirstToken = message.timeToFirstToken
                ?.let { smoothed(state.meanTimeToFirstToken, it) }
                ?: state.meanTimeToFirstToken,
        )
        return serveQueue(updated, context, now)
    }

    /**
     * Renews the [permits] that ingresses hold, or takes them over from a previous owner. The request of a permit that
     * is taken over no longer counts as unaccounted.
     */
    fun renewPermits(
        state: TargetAdmissionState,
        permits: List<HandedOverPermit>,
        now: Timestamp,
    ): TargetAdmissionState {
        val accepted = permits.filter { it.permit.attempt !in state.recentlyEnded }
        val added = accepted.count { it.permit.attempt !in state.permits }
        val expiresAt = now + settings.permitLease
        val renewed = accepted.fold(state) { updated, handedOver ->
            val attempt = handedOver.permit.attempt
            val permit = updated.permits[attempt]?.copy(expiresAt = expiresAt)
                ?: Permit(handedOver.holder, handedOver.permit.demand, expiresAt)
            updated.copy(
                permits = updated.permits.put(attempt, permit),
                queue = updated.queue.minus(attempt),
                timers = if (attempt in updated.permits) {
                    updated.timers
                } else {
                    updated.timers.schedule(attempt, expiresAt)
                },
            )
        }
        return renewed.copy(
            unaccounted = maxOf(0, state.unaccounted - added),
            recentPeak = renewed.recentPeak.record(renewed.permits.size, now),
        )
    }

    /**
     * Updates the number of unaccounted requests from the [inFlight] count that the target reported. The report is
     * delayed, so it is compared with the recent peak of permits.
     */
    fun updateUnaccounted(
        state: TargetAdmissionState,
        context: TargetContext,
        inFlight: Int,
        now: Timestamp,
    ): Step<TargetAdmissionState, AdmissionEffect> {
        val unaccounted = maxOf(0, inFlight - state.recentPeak.value)
        return serveQueue(state.copy(unaccounted = unaccounted, isUnaccountedEstimated = false), context, now)
    }

    /** Ends expired permits, refuses or redirects queued requests that are due, and serves the queue. */
    fun tick(
        state: TargetAdmissionState,
        context: TargetContext,
        now: Timestamp,
    ): Step<TargetAdmissionState, AdmissionEffect> {
        val due = state.timers.due(now).distinct()
        val start = Step<TargetAdmissionState, AdmissionEffect>(
            state.copy(
                timers = if (due.isEmpty()) state.timers else state.timers.withoutDue(now),
                recentPeak = state.recentPeak.record(state.permits.size, now),
            ).withoutStaleEstimate(now),
        )
        val checked = due.fold(start) { step, attempt ->
            val (next, effects) = checkDue(step.state, context, attempt, now)
            Step(next, step.effects + effects)
        }
        val (served, effects) = serveQueue(checked.state, context, now)
        return Step(served, checked.effects + effects)
    }

    /** Grants permits to queued requests while the target has free slots. */
    fun serveQueue(
        state: TargetAdmissionState,
        context: TargetContext,
        now: Timestamp,
    ): Step<TargetAdmissionState, AdmissionEffect> {
        var current = state
        val effects = mutableListOf<AdmissionEffect>()
        while (!current.queue.isEmpty && slots.hasFreeSlot(current, context, now)) {
            val next = checkNotNull(current.queue.first())
            current = current.copy(queue = current.queue.minus(next.attempt))
            if (slots.isOverdue(current, next, now)) {
                effects += AdmissionReplies.refused(next, context, PermitRefusal.LATE)
            } else {
                val step = grant(current, context, next.ingress, next.attempt, next.demand, now)
                current = step.state
                effects += step.effects
            }
        }
        return Step(current, effects)
    }

    /** Serves the queue, then redirects at most one queued request to each other target that has free slots. */
    fun rebalance(
        state: TargetAdmissionState,
        context: TargetContext,
        now: Timestamp,
    ): Step<TargetAdmissionState, AdmissionEffect> {
        val candidates = context.groupLoad?.targetsWithFreeSlots.orEmpty().filter { it != context.id }
        return candidates.fold(serveQueue(state, context, now)) { step, hint ->
            redirectNext(step, context, hint, now)
        }
    }

    /** Refuses all queued requests for [reason]. */
    fun refuseAll(
        state: TargetAdmissionState,
        context: TargetContext,
        reason: PermitRefusal,
    ): Step<TargetAdmissionState, AdmissionEffect> = Step(
        state.copy(queue = FairQueue()),
        state.queue.entries.values.map {
            AdmissionReplies.refused(it, context, reason)
        },
    )

    private fun queuedRequest(attempt: AttemptId, from: RouterId, demand: PermitDemand, now: Timestamp) = QueuedRequest(
        attempt = attempt,
        ingress = from,
        account = slots.queueAccount(demand),
        demand = demand,
        queuedAt = now,
        deadline = now + demand.timeAllowed,
    )

    /** Handles a request that cannot be granted at once: redirects, refuses or queues it. */
    private fun deferOrRefuse(
        state: TargetAdmissionState,
        context: TargetContext,
        request: QueuedRequest,
        now: Timestamp,
    ): Step<TargetAdmissionState, AdmissionEffect> {
        val deferred = state.copy(hasDeferredRequest = true)
        val demand = request.demand
        val wait = slots.expectedWait(deferred, context, demand, now)
        val isSaturated = LoadBound.isSaturated(state, context, now)
        val cacheWait = redirects.cacheWaitOf(demand)
        val waitsForCache = wait <= cacheWait
        return when {
            !isSaturated && !redirects.isExhausted(context, demand) && !waitsForCache ->
                Step(
                    deferred,
                    listOf(
                        AdmissionReplies.redirected(request.ingress, redirects.redirectOf(deferred, context, request)),
                    ),
                )

            isSaturated && wait * EARLY_REFUSAL_FACTOR + state.meanTimeToFirstToken > demand.timeAllowed ->
                Step(deferred, listOf(AdmissionReplies.refused(request, context, PermitRefusal.LATE)))

            state.queue.size >= settings.maximumQueuedPerSlot * context.target.capacity ->
                enqueueWhenFull(deferred, context, request.copy(redirectableAt = now + cacheWait), now)

            else -> enqueue(deferred, context, request.copy(redirectableAt = now + cacheWait), now)
        }
    }

    private fun redirectNext(
        step: Step<TargetAdmissionState, AdmissionEffect>,
        context: TargetContext,
        hint: TargetId,
        now: Timestamp,
    ): Step<TargetAdmissionState, AdmissionEffect> {
        val next = step.state.queue.first()
            ?.takeIf { it.redirectableAt <= now && redirects.mayRedirect(it, context) }
            ?: return step
        val redirect = AdmissionReplies.redirected(next.ingress, PermitRedirected(next.attempt, context.id, hint))
        return Step(step.state.copy(queue = step.state.queue.minus(next.attempt)), step.effects + redirect)
    }

    private fun enqueueWhenFull(
        state: TargetAdmissionState,
        context: TargetContext,
        request: QueuedRequest,
        now: Timestamp,
    ): Step<TargetAdmissionState, AdmissionEffect> {
        val evicted = state.queue.evictionCandidate(request.account, context::weightOf)
            ?: return Step(state, listOf(AdmissionReplies.refused(request, context, PermitRefusal.QUEUE_FULL)))
        val withoutEvicted = state.copy(queue = state.queue.minus(evicted.attempt))
        val (next, effects) = enqueue(withoutEvicted, context, request, now)
        return Step(next, listOf(AdmissionReplies.refused(evicted, context, PermitRefusal.QUEUE_FULL)) + effects)
    }

    private fun enqueue(
        state: TargetAdmissionState,
        context: TargetContext,
        request: QueuedRequest,
        now: Timestamp,
    ): Step<TargetAdmissionState, AdmissionEffect> {
        val enqueued = state.copy(
            queue = state.queue.plus(request),
            timers = state.timers.schedule(request.attempt, minOf(request.redirectableAt, request.deadline)),
        )
        val (served, effects) = serveQueue(enqueued, context, now)
        return Step(served, listOf(queuedReply(request.ingress, request.attempt, enqueued, context, now)) + effects)
    }

    private fun grant(
        state: TargetAdmissionState,
        context: TargetContext,
        holder: RouterId,
        attempt: AttemptId,
        demand: PermitDemand,
        now: Timestamp,
    ): Step<TargetAdmissionState, AdmissionEffect> {
        val expiresAt = now + settings.permitLease
        val permits = state.permits.put(attempt, Permit(holder, demand, expiresAt, grantedAt = now))
        val updated = state.copy(
            permits = permits,
            queue = state.queue.charge(slots.queueAccount(demand), workOf(demand), context.weightOf(demand.account)),
            timers = state.timers.schedule(attempt, expiresAt),
            recentPeak = state.recentPeak.record(permits.size, now),
            chatLocations = if (demand.isHome) withoutChat(state.chatLocations, demand) else state.chatLocations,
        )
        return Step(updated, listOf(AdmissionReplies.granted(holder, attempt, context, settings.permitLease)))
    }

    /** Applies whatever is due for [attempt], or schedules its next check. */
    private fun checkDue(
        state: TargetAdmissionState,
        context: TargetContext,
        attempt: AttemptId,
        now: Timestamp,
    ): Step<TargetAdmissionState, AdmissionEffect> {
        val permit = state.permits[attempt]
        val waiting = state.queue.entries[attempt]
        return when {
            permit != null && permit.expiresAt <= now -> Step(state.copy(permits = state.permits.remove(attempt)))

            permit != null -> Step(state.copy(timers = state.timers.schedule(attempt, permit.expiresAt)))

            waiting != null && waiting.deadline <= now -> Step(
                state.copy(queue = state.queue.minus(attempt)),
                listOf(AdmissionReplies.refused(waiting, context, PermitRefusal.LATE)),
            )

            waiting != null && redirects.mayRedirect(waiting, context) &&
                redirects.mustRedirect(waiting, state, context, now) -> Step(
                state.copy(queue = state.queue.minus(attempt)),
                listOf(AdmissionReplies.redirected(waiting.ingress, redirects.redirectOf(state, context, waiting))),
            )

            waiting != null -> Step(state.copy(timers = state.timers.schedule(attempt, nextCheckAt(waiting, now))))

            else -> Step(
                if (state.isEndOutdated(attempt, now)) {
                    state.copy(recentlyEnded = state.recentlyEnded.remove(attempt))
                } else {
                    state
                },
            )
        }
    }

    private fun nextCheckAt(waiting: QueuedRequest, now: Timestamp): Timestamp =
        if (waiting.redirectableAt > now) minOf(waiting.redirectableAt, waiting.deadline) else waiting.deadline

    private fun renew(
        state: TargetAdmissionState,
        holder: RouterId,
        attempt: AttemptId,
        now: Timestamp,
    ): TargetAdmissionState {
        val permit = state.permits.getValue(attempt).copy(holder = holder, expiresAt = now + settings.permitLease)
        return state.copy(permits = state.permits.put(attempt, permit))
    }

    private fun withoutChat(locations: ChatLocations, demand: PermitDemand): ChatLocations =
        demand.chat?.let { locations.remove(ChatKey(demand.account, it)) } ?: locations

    /** Whether a delayed copy of the request of the ended [attempt] is no longer expected. */
    private fun TargetAdmissionState.isEndOutdated(attempt: AttemptId, now: Timestamp): Boolean =
        recentlyEnded[attempt]?.let { it <= now } ?: false

    private fun TargetAdmissionState.withoutStaleEstimate(now: Timestamp): TargetAdmissionState =
        if (isUnaccountedEstimated && now - ownedSince > ESTIMATE_LIFETIME) {
            copy(unaccounted = 0, isUnaccountedEstimated = false)
        } else {
            this
        }

    private fun queuedReply(
        to: RouterId,
        attempt: AttemptId,
        state: TargetAdmissionState,
        context: TargetContext,
        now: Timestamp,
    ): AdmissionEffect {
        val demand = state.queue.entries.getValue(attempt).demand
        return AdmissionReplies.queued(to, attempt, context, slots.expectedWait(state, context, demand, now))
    }

    private fun workOf(demand: PermitDemand): Double =
        1.0 + demand.outputTokens + demand.promptTokens / PROMPT_TOKENS_PER_OUTPUT_TOKEN

    private fun smoothed(mean: Duration, latest: Duration): Duration = mean + (latest - mean) / SMOOTHING_DIVISOR

    private companion object {
        /** Applied to the expected wait, so that only requests that clearly miss their deadline are refused early. */
        const val EARLY_REFUSAL_FACTOR = 0.8
        const val SMOOTHING_DIVISOR = 16
        const val PROMPT_TOKENS_PER_OUTPUT_TOKEN = 100.0
        val ESTIMATE_LIFETIME = 2.seconds
    }
}
