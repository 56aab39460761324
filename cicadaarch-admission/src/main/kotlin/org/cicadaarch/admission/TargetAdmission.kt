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
 * The admission decisions for a single target.
 */
internal class TargetAdmission(private val settings: AdmissionSettings) {
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
        val lastTarget = lastTargetOf(state, context, demand)
        return when {
            attempt in state.permits -> Step(renew(state, from, attempt, now), listOf(granted(from, attempt, context)))

            attempt in state.queue.entries -> Step(state, listOf(queued(from, attempt, state, context, now)))

            attempt in state.recentlyEnded || context.target.leaving ->
                Step(state, listOf(targetGone(from, attempt, context)))

            lastTarget != null && demand.redirects == 0 -> {
                val hasFreeSlots = hasFreeSlot(state, context, now)
                val redirect = PermitRedirected(attempt, context.id, lastTarget, hasFreeSlots, hintRanChat = true)
                Step(state, listOf(send(from, redirect)))
            }

            state.queue.isEmpty && canGrant(state, context, demand, now) ->
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
        while (!current.queue.isEmpty && hasFreeSlot(current, context, now)) {
            val next = checkNotNull(current.queue.first())
            current = current.copy(queue = current.queue.minus(next.attempt))
            if (isOverdue(current, next, now)) {
                effects += refused(next, context, PermitRefusal.LATE)
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
    ): Step<TargetAdmissionState, AdmissionEffect> =
        Step(state.copy(queue = FairQueue()), state.queue.entries.values.map { refused(it, context, reason) })

    private fun queuedRequest(attempt: AttemptId, from: RouterId, demand: PermitDemand, now: Timestamp) = QueuedRequest(
        attempt = attempt,
        ingress = from,
        account = queueAccount(demand),
        demand = demand,
        queuedAt = now,
        deadline = now + demand.timeAllowed,
    )

    /** The account under which a request is queued. Without fair queueing, all requests share one account. */
    private fun queueAccount(demand: PermitDemand): AccountId =
        if (settings.usesFairQueueing) demand.account else SHARED_ACCOUNT

    /** Handles a request that cannot be granted at once: redirects, refuses or queues it. */
    private fun deferOrRefuse(
        state: TargetAdmissionState,
        context: TargetContext,
        request: QueuedRequest,
        now: Timestamp,
    ): Step<TargetAdmissionState, AdmissionEffect> {
        val deferred = state.copy(hasDeferredRequest = true)
        val demand = request.demand
        val wait = expectedWait(deferred, context, demand, now)
        val isSaturated = LoadBound.isSaturated(state, context, now)
        val cacheWait = cacheWaitOf(demand)
        val waitsForCache = wait <= cacheWait
        val redirectsExhausted = demand.redirects >= minOf(settings.maximumRedirects, context.groupSize.targets - 1)
        return when {
            !isSaturated && !redirectsExhausted && !waitsForCache ->
                Step(deferred, listOf(send(request.ingress, redirectOf(deferred, context, request))))

            isSaturated && wait * EARLY_REFUSAL_FACTOR + state.meanTimeToFirstToken > demand.timeAllowed ->
                Step(deferred, listOf(refused(request, context, PermitRefusal.LATE)))

            state.queue.size >= settings.maximumQueuedPerSlot * context.target.capacity ->
                enqueueWhenFull(deferred, context, request.copy(redirectableAt = now + cacheWait), now)

            else -> enqueue(deferred, context, request.copy(redirectableAt = now + cacheWait), now)
        }
    }

    /** How long to wait for a target that has the chat's prompt prefix cached: the time to compute it elsewhere. */
    private fun cacheWaitOf(demand: PermitDemand): Duration =
        if (demand.isReturning && (demand.isHome || demand.ranChat)) {
            settings.prefillTimePerToken * demand.promptTokens
        } else {
            Duration.ZERO
        }

    private fun redirectNext(
        step: Step<TargetAdmissionState, AdmissionEffect>,
        context: TargetContext,
        hint: TargetId,
        now: Timestamp,
    ): Step<TargetAdmissionState, AdmissionEffect> {
        val next = step.state.queue.first()
            ?.takeIf { it.redirectableAt <= now && mayRedirect(it, context) }
            ?: return step
        val redirect = send(next.ingress, PermitRedirected(next.attempt, context.id, hint))
        return Step(step.state.copy(queue = step.state.queue.minus(next.attempt)), step.effects + redirect)
    }

    /**
     * Suggests the target that ran the chat last. Otherwise, an attempt that was redirected before gets one of the
     * targets with free slots, chosen by the attempt's hash, and the first redirect has no hint.
     */
    private fun redirectOf(
        state: TargetAdmissionState,
        context: TargetContext,
        request: QueuedRequest,
    ): PermitRedirected {
        val lastTarget = lastTargetOf(state, context, request.demand)
        val candidates = context.groupLoad?.targetsWithFreeSlots.orEmpty().filter { it != context.id }
        val suggested = candidates.getOrNull(Math.floorMod(request.attempt.hashCode(), maxOf(1, candidates.size)))
        val hint = lastTarget ?: suggested.takeIf { request.demand.redirects > 0 }
        return PermitRedirected(request.attempt, context.id, hint, hintRanChat = lastTarget != null)
    }

    private fun enqueueWhenFull(
        state: TargetAdmissionState,
        context: TargetContext,
        request: QueuedRequest,
        now: Timestamp,
    ): Step<TargetAdmissionState, AdmissionEffect> {
        val evicted = state.queue.evictionCandidate(request.account, context::weightOf)
            ?: return Step(state, listOf(refused(request, context, PermitRefusal.QUEUE_FULL)))
        val withoutEvicted = state.copy(queue = state.queue.minus(evicted.attempt))
        val (next, effects) = enqueue(withoutEvicted, context, request, now)
        return Step(next, listOf(refused(evicted, context, PermitRefusal.QUEUE_FULL)) + effects)
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
        return Step(served, listOf(queued(request.ingress, request.attempt, enqueued, context, now)) + effects)
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
            queue = state.queue.charge(queueAccount(demand), workOf(demand), context.weightOf(demand.account)),
            timers = state.timers.schedule(attempt, expiresAt),
            recentPeak = state.recentPeak.record(permits.size, now),
            chatLocations = if (demand.isHome) withoutChat(state.chatLocations, demand) else state.chatLocations,
        )
        return Step(updated, listOf(granted(holder, attempt, context)))
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
                listOf(refused(waiting, context, PermitRefusal.LATE)),
            )

            waiting != null && mayRedirect(waiting, context) && mustRedirect(waiting, state, context, now) -> Step(
                state.copy(queue = state.queue.minus(attempt)),
                listOf(send(waiting.ingress, redirectOf(state, context, waiting))),
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

    private fun mustRedirect(
        waiting: QueuedRequest,
        state: TargetAdmissionState,
        context: TargetContext,
        now: Timestamp,
    ): Boolean = waiting.redirectableAt <= now && !LoadBound.isSaturated(state, context, now)

    /**
     * Whether [waiting] may still be redirected from the queue. It is never redirected more often than there are other
     * targets.
     */
    private fun mayRedirect(waiting: QueuedRequest, context: TargetContext): Boolean =
        waiting.demand.redirects < minOf(2 * settings.maximumRedirects, context.groupSize.targets - 1)

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

    private fun hasFreeSlot(state: TargetAdmissionState, context: TargetContext, now: Timestamp): Boolean {
        val limit = if (settings.enforcesLoadBound) LoadBound.limit(state, context, now) else context.target.capacity
        return !context.target.leaving && state.load < limit
    }

    /**
     * Whether the target has a free slot for this demand. Slots above [LoadBound.newChatLimit] are reserved for
     * returning chats and redirected attempts.
     */
    private fun canGrant(
        state: TargetAdmissionState,
        context: TargetContext,
        demand: PermitDemand,
        now: Timestamp,
    ): Boolean {
        val mayUseLastSlots = demand.isReturning || demand.redirects > 0
        return hasFreeSlot(state, context, now) &&
            (mayUseLastSlots || state.load < LoadBound.newChatLimit(state, context, settings, now))
    }

    /** The other target that ran this chat last, or null if there is none or the chat is not to be redirected. */
    private fun lastTargetOf(state: TargetAdmissionState, context: TargetContext, demand: PermitDemand) =
        if (settings.redirectsToLastTarget && demand.isHome && demand.isReturning) {
            demand.chat?.let { state.chatLocations.find(ChatKey(demand.account, it)) }?.takeIf { it != context.id }
        } else {
            null
        }

    private fun withoutChat(locations: ChatLocations, demand: PermitDemand): ChatLocations =
        demand.chat?.let { locations.remove(ChatKey(demand.account, it)) } ?: locations

    private fun expectedWait(
        state: TargetAdmissionState,
        context: TargetContext,
        demand: PermitDemand,
        now: Timestamp,
    ): Duration {
        val slots = maxOf(1, LoadBound.limit(state, context, now))
        return state.meanHoldTime * (state.queue.requestsAhead(queueAccount(demand), context::weightOf) + 1) / slots
    }

    private fun isOverdue(state: TargetAdmissionState, request: QueuedRequest, now: Timestamp): Boolean =
        request.deadline <= now + state.meanTimeToFirstToken * FIRST_TOKEN_MARGIN

    /** Whether a delayed copy of the request of the ended [attempt] is no longer expected. */
    private fun TargetAdmissionState.isEndOutdated(attempt: AttemptId, now: Timestamp): Boolean =
        recentlyEnded[attempt]?.let { it <= now } ?: false

    private fun TargetAdmissionState.withoutStaleEstimate(now: Timestamp): TargetAdmissionState =
        if (isUnaccountedEstimated && now - ownedSince > ESTIMATE_LIFETIME) {
            copy(unaccounted = 0, isUnaccountedEstimated = false)
        } else {
            this
        }

    private fun granted(to: RouterId, attempt: AttemptId, context: TargetContext) =
        send(to, PermitGranted(attempt, context.id, settings.permitLease))

    private fun queued(
        to: RouterId,
        attempt: AttemptId,
        state: TargetAdmissionState,
        context: TargetContext,
        now: Timestamp,
    ) = send(
        to,
        PermitQueued(
            attempt,
            context.id,
            expectedWait(state, context, state.queue.entries.getValue(attempt).demand, now),
        ),
    )

    private fun targetGone(to: RouterId, attempt: AttemptId, context: TargetContext) =
        send(to, PermitRefused(attempt, context.id, PermitRefusal.TARGET_GONE))

    private fun refused(request: QueuedRequest, context: TargetContext, reason: PermitRefusal) =
        send(request.ingress, PermitRefused(request.attempt, context.id, reason))

    private fun send(to: RouterId, message: AdmissionMessage) = AdmissionEffect.Send(to, message)

    private fun workOf(demand: PermitDemand): Double =
        1.0 + demand.outputTokens + demand.promptTokens / PROMPT_TOKENS_PER_OUTPUT_TOKEN

    private fun smoothed(mean: Duration, latest: Duration): Duration = mean + (latest - mean) / SMOOTHING_DIVISOR

    private companion object {
        /** Applied to the expected wait, so that only requests that clearly miss their deadline are refused early. */
        const val EARLY_REFUSAL_FACTOR = 0.8
        val SHARED_ACCOUNT = AccountId("")
        const val FIRST_TOKEN_MARGIN = 2
        const val SMOOTHING_DIVISOR = 16
        const val PROMPT_TOKENS_PER_OUTPUT_TOKEN = 100.0
        val ESTIMATE_LIFETIME = 2.seconds
    }
}
