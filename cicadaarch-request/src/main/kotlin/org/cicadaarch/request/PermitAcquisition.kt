package org.cicadaarch.request

import org.cicadaarch.admission.AdmissionMessage
import org.cicadaarch.admission.PermitRefusal
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.TargetId
import org.cicadaarch.request.IngressPhase.AwaitingPermit
import org.cicadaarch.request.IngressPhase.BackingOff

/**
 * Acquires a permit to run a request on a target. Permits limit the load of a target and are granted by one router, the
 * admission owner of the target.
 *
 * Permits are requested from the targets' owners in order of preference, and redirects to other targets are followed.
 * While an owner is unreachable, this ingress uses its share of the target's capacity without permits.
 */
internal class PermitAcquisition(private val settings: IngressSettings, private val transition: IngressTransition) {
    /**
     * Starts a round over all targets in order of preference. Targets on which an attempt of this request failed come
     * last. Once the response has started, only targets that can resume its stream are candidates.
     */
    fun startRound(request: IngressRequest) {
        val order = transition.targetsInOrder(request)
        val allowed = if (request.responseStarted) order.filter(transition::resumesStreams) else order
        val (failedBefore, others) = allowed.partition { it in request.failedTargets }
        requestNext(request.copy(candidates = others + failedBefore, redirects = 0, lateRefusals = 0))
    }

    /** Starts a round after a pause: a target has failed again that refuses all requests, and at once. */
    fun startRoundLater(request: IngressRequest) = backOff(request.copy(candidates = emptyList()))

    /** Requests a permit on the next candidate. When none is left, ends the request as late or backs off. */
    fun requestNext(request: IngressRequest) {
        val target = request.candidates.firstOrNull()
        when {
            target != null -> requestPermit(request.copy(candidates = request.candidates.drop(1)), target)
            request.lateRefusals > 0 -> transition.endWithoutResponse(request, RefusalReason.LATE)
            else -> backOff(request)
        }
    }

    /** Requests a permit on [target] from its owner, or tries to start without one if that owner is unreachable. */
    fun requestPermit(request: IngressRequest, target: TargetId) {
        val owner = transition.ownerOf(target) ?: transition.state.view.self
        val attempt = AttemptId(request.head.id, request.attempts + 1)
        val awaiting = AwaitingPermit(attempt, target, owner, replyDueAt = transition.now + settings.permitTimeout)
        val updated = request.copy(attempts = attempt.number, phase = awaiting)
        transition.put(updated)
        val isUnreachable = transition.isUnreachable(owner)
        if (isUnreachable) tryWithoutPermit(updated, awaiting) else sendPermitRequest(updated, awaiting)
    }

    /** Waits longer for the permit, since the attempt is in the target's queue. */
    fun onQueued(request: IngressRequest, awaiting: AwaitingPermit, message: AdmissionMessage.PermitQueued) {
        val dueAt = transition.now + message.expectedWait * 2 + settings.queueGracePeriod
        transition.put(request.copy(phase = awaiting.copy(queued = true, replyDueAt = dueAt)))
    }

    /** Starts the attempt. Tells the owner of the chat's most preferred target if the chat was redirected. */
    fun onGranted(request: IngressRequest, awaiting: AwaitingPermit, message: AdmissionMessage.PermitGranted) {
        transition.start(request, message.attempt, message.target, awaiting.owner)
        val home = transition.homeTarget(request) ?: return
        val chat = request.head.chat ?: return
        if (home == message.target || request.redirects == 0) return
        val placed = AdmissionMessage.ChatPlaced(home, request.head.account, chat, message.target)
        transition.sendToOwner(home, placed)
    }

    /**
     * Requests a permit on the hinted target of [message] if there is one, else on the next candidate. After many
     * redirects, no target is asked again in this round: two owners could redirect to each other forever.
     */
    fun onRedirected(request: IngressRequest, message: AdmissionMessage.PermitRedirected) {
        val mayAskAgain = message.hasFreeSlots && request.redirects < settings.maxRedirects
        val remaining = if (mayAskAgain) request.candidates + message.target else request.candidates
        val hint = message.hint?.takeIf { it in remaining }
        val candidates = listOfNotNull(hint) + remaining.filter { it != hint }
        requestNext(
            request.copy(
                candidates = candidates,
                redirects = request.redirects + 1,
                previousChatTarget = hint.takeIf { message.hintRanChat },
            ),
        )
    }

    /** Handles a refusal: tries the next candidate or the actual owner, or ends the request as late. */
    fun onRefused(request: IngressRequest, awaiting: AwaitingPermit, reason: PermitRefusal) = when (reason) {
        PermitRefusal.LATE -> onLate(request.copy(lateRefusals = request.lateRefusals + 1))
        PermitRefusal.NOT_OWNER -> onNotOwner(request, awaiting)
        PermitRefusal.TARGET_GONE, PermitRefusal.QUEUE_FULL -> requestNext(request)
    }

    /** Requests the permit again if the attempt was queued; otherwise treats the owner as unreachable. */
    fun onReplyTimeout(request: IngressRequest, awaiting: AwaitingPermit) {
        if (awaiting.queued) {
            val unqueued = awaiting.copy(queued = false, replyDueAt = transition.now + settings.permitTimeout)
            transition.put(request.copy(phase = unqueued))
            sendPermitRequest(request, unqueued)
        } else {
            transition.markUnreachable(awaiting.owner)
            tryWithoutPermit(request, awaiting)
        }
    }

    /** Handles the loss of the connection to [owner] for all requests that wait for its reply. */
    fun onOwnerUnreachable(owner: RouterId) {
        transition.markUnreachable(owner)
        transition.state.requests.values.forEach { request ->
            val awaiting = request.phase as? AwaitingPermit
            if (awaiting?.owner == owner) tryWithoutPermit(request, awaiting)
        }
    }

    private fun sendPermitRequest(request: IngressRequest, awaiting: AwaitingPermit) {
        val demand = transition.permitDemand(request, awaiting.target)
        val message = AdmissionMessage.PermitRequest(awaiting.attempt, awaiting.target, demand)
        transition.emit(IngressEffect.SendToOwner(awaiting.owner, message))
    }

    /** Starts an attempt without a permit if this ingress's share of the target has room, else tries the next one. */
    private fun tryWithoutPermit(request: IngressRequest, awaiting: AwaitingPermit) {
        val release = AdmissionMessage.PermitReleased(awaiting.attempt, awaiting.target)
        transition.emit(IngressEffect.SendToOwner(awaiting.owner, release))
        if (LocalCapacityShare.hasRoom(transition.state, awaiting.target)) {
            transition.startWithoutPermit(request, awaiting.target)
        } else {
            requestNext(request)
        }
    }

    /** Does not ask the same owner again: it would refuse until its view of the routers agrees with this one. */
    private fun onNotOwner(request: IngressRequest, awaiting: AwaitingPermit) {
        if (transition.ownerOf(awaiting.target) == awaiting.owner) {
            tryWithoutPermit(request, awaiting)
        } else {
            requestPermit(request, awaiting.target)
        }
    }

    private fun onLate(request: IngressRequest) {
        if (request.lateRefusals >= settings.maxLateRefusals) {
            transition.endWithoutResponse(request, RefusalReason.LATE)
        } else {
            requestNext(request)
        }
    }

    private fun backOff(request: IngressRequest) =
        transition.put(request.copy(phase = BackingOff(transition.now + settings.roundBackoff)))
}
