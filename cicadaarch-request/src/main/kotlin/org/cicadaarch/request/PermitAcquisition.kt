package org.cicadaarch.request

import org.cicadaarch.admission.AdmissionMessage
import org.cicadaarch.admission.PermitRefusal
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.Outcome
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.TargetId
import org.cicadaarch.request.RequestPhase.AwaitingPermit
import org.cicadaarch.request.RequestPhase.BackingOff

/**
 * Finds a target that takes a request: asks the owners in the chat's order, follows their hints, and spends the local
 * budget while an owner does not answer.
 */
internal class PermitAcquisition(private val settings: IngressSettings, private val transition: IngressTransition) {
    /** Asks all targets from the best on; those that failed this request come last. */
    fun startRound(request: OpenRequest) {
        val order = transition.targetsInOrder(request)
        val allowed = if (request.responseStarted) order.filter(transition::resumesStreams) else order
        val (failed, untried) = allowed.partition { it in request.failedTargets }
        requestNext(request.copy(candidates = untried + failed, spills = 0, lateRefusals = 0))
    }

    /** Asks the next candidate, or pauses before the next round. */
    fun requestNext(request: OpenRequest) {
        val target = request.candidates.firstOrNull()
        when {
            target != null -> requestPermit(request.copy(candidates = request.candidates.drop(1)), target)
            request.lateRefusals > 0 -> transition.endWithoutResponse(request, RefusalReason.LATE)
            else -> backOff(request)
        }
    }

    /** Asks the owner of [target] for a permit, or uses the local budget at once when that owner is unreachable. */
    fun requestPermit(request: OpenRequest, target: TargetId) {
        val owner = transition.ownerOf(target) ?: transition.state.view.self
        val attempt = AttemptId(request.head.id, request.attempts + 1)
        val awaiting = AwaitingPermit(attempt, target, owner, replyDueAt = transition.now + settings.permitTimeout)
        val updated = request.copy(attempts = attempt.number, phase = awaiting)
        transition.put(updated)
        if (transition.isUnreachable(
                owner,
            )
        ) {
            tryWithoutPermit(updated, awaiting)
        } else {
            sendPermitRequest(updated, awaiting)
        }
    }

    /** Goes on with [request] after the owner's answer [message]. */
    fun onQueued(request: OpenRequest, awaiting: AwaitingPermit, message: AdmissionMessage.PermitQueued) {
        val dueAt = transition.now + message.expectedWait * 2 + settings.queueGracePeriod
        transition.put(request.copy(phase = awaiting.copy(queued = true, replyDueAt = dueAt)))
    }

    /** Starts the request on the target of [message]. */
    fun onGranted(request: OpenRequest, awaiting: AwaitingPermit, message: AdmissionMessage.PermitGranted) {
        transition.start(request, message.attempt, message.target, awaiting.owner)
        val home = transition.homeTarget(request) ?: return
        val chat = request.head.chat ?: return
        if (home == message.target || request.spills == 0) return
        val placed = AdmissionMessage.ChatPlaced(home, request.head.account, chat, message.target)
        transition.sendToOwner(home, placed)
    }

    /** Goes on to the hint of [message], else to the next candidate. */
    fun onSpilled(request: OpenRequest, message: AdmissionMessage.PermitRedirected) {
        val remaining = if (message.hasFreeSlots) request.candidates + message.target else request.candidates
        val hint = message.hint?.takeIf { it in remaining }
        val candidates = listOfNotNull(hint) + remaining.filter { it != hint }
        requestNext(
            request.copy(
                candidates = candidates,
                spills = request.spills + 1,
                previousChatTarget = hint.takeIf { message.hintRanChat },
            ),
        )
    }

    /** Goes on to the next candidate, or ends the request when enough owners foresee that it would be late. */
    fun onRefused(request: OpenRequest, awaiting: AwaitingPermit, reason: PermitRefusal) = when (reason) {
        PermitRefusal.LATE -> onLate(request.copy(lateRefusals = request.lateRefusals + 1))
        PermitRefusal.NOT_OWNER -> onNotOwner(request, awaiting)
        PermitRefusal.TARGET_GONE, PermitRefusal.QUEUE_FULL -> requestNext(request)
    }

    /** The owner that [awaiting] asked has not answered in time. */
    fun onReplyTimeout(request: OpenRequest, awaiting: AwaitingPermit) {
        if (awaiting.queued) {
            val renewed = awaiting.copy(queued = false, replyDueAt = transition.now + settings.permitTimeout)
            transition.put(request.copy(phase = renewed))
            sendPermitRequest(request, renewed)
        } else {
            transition.markUnreachable(awaiting.owner)
            tryWithoutPermit(request, awaiting)
        }
    }

    /** All requests that wait for [owner], which cannot be reached, go on without it. */
    fun onOwnerUnreachable(owner: RouterId) {
        transition.markUnreachable(owner)
        transition.state.requests.values.forEach { request ->
            val awaiting = request.phase as? AwaitingPermit
            if (awaiting?.owner == owner) tryWithoutPermit(request, awaiting)
        }
    }

    private fun sendPermitRequest(request: OpenRequest, awaiting: AwaitingPermit) {
        val demand = transition.permitDemand(request, awaiting.target)
        val message = AdmissionMessage.PermitRequest(awaiting.attempt, awaiting.target, demand)
        transition.emit(IngressEffect.SendToOwner(awaiting.owner, message))
    }

    private fun tryWithoutPermit(request: OpenRequest, awaiting: AwaitingPermit) {
        val release = AdmissionMessage.PermitReleased(awaiting.attempt, awaiting.target)
        transition.emit(IngressEffect.SendToOwner(awaiting.owner, release))
        if (LocalCapacityShare.hasRoom(transition.state, awaiting.target)) {
            transition.startWithoutPermit(request, awaiting.target)
        } else {
            requestNext(request)
        }
    }

    /** Where two routers' views differ, asking the same owner again would only wait for the views to agree. */
    private fun onNotOwner(request: OpenRequest, awaiting: AwaitingPermit) {
        if (transition.ownerOf(awaiting.target) == awaiting.owner) {
            tryWithoutPermit(request, awaiting)
        } else {
            requestPermit(request, awaiting.target)
        }
    }

    private fun onLate(request: OpenRequest) {
        if (request.lateRefusals >= settings.maxLateRefusals) {
            transition.endWithoutResponse(request, RefusalReason.LATE)
        } else {
            requestNext(request)
        }
    }

    private fun backOff(request: OpenRequest) =
        transition.put(request.copy(phase = BackingOff(transition.now + settings.roundBackoff)))
}
