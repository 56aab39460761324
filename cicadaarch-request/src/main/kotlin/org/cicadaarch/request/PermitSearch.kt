package org.cicadaarch.request

import org.cicadaarch.admission.AdmissionMessage
import org.cicadaarch.admission.PermitRefusal
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.Outcome
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.TargetId
import org.cicadaarch.request.RequestPhase.BackingOff
import org.cicadaarch.request.RequestPhase.Seeking

/**
 * Finds a target that takes a request: asks the owners in the chat's order, follows their hints, and spends the local
 * budget while an owner does not answer.
 */
internal class PermitSearch(private val settings: IngressSettings, private val transition: IngressTransition) {
    /** Asks all targets from the best on; those that failed this request come last. */
    fun startRound(request: OpenRequest) {
        val order = transition.orderOf(request)
        val allowed = if (request.answerBegun) order.filter(transition::resumesStreams) else order
        val (failed, fresh) = allowed.partition { it in request.failedTargets }
        askNext(request.copy(candidates = fresh + failed, spills = 0, lateAnswers = 0))
    }

    /** Asks the next candidate, or pauses before the next round. */
    fun askNext(request: OpenRequest) {
        val target = request.candidates.firstOrNull()
        when {
            target != null -> ask(request.copy(candidates = request.candidates.drop(1)), target)
            request.lateAnswers > 0 -> transition.endUnanswered(request, RefusalReason.LATE)
            else -> pause(request)
        }
    }

    /** Asks the owner of [target] for a permit, or uses the local budget at once when that owner is unreachable. */
    fun ask(request: OpenRequest, target: TargetId) {
        val owner = transition.ownerOf(target) ?: transition.state.view.self
        val attempt = AttemptId(request.head.id, request.attempts + 1)
        val seeking = Seeking(attempt, target, owner, answerDueAt = transition.now + settings.permitTimeout)
        val asking = request.copy(attempts = attempt.number, phase = seeking)
        transition.put(asking)
        if (transition.isUnreachable(owner)) useLocalBudget(asking, seeking) else sendRequest(asking, seeking)
    }

    /** Goes on with [request] after the owner's answer [message]. */
    fun queued(request: OpenRequest, seeking: Seeking, message: AdmissionMessage.PermitQueued) {
        val dueAt = transition.now + message.expectedWait * 2 + settings.queueCheck
        transition.put(request.copy(phase = seeking.copy(queued = true, answerDueAt = dueAt)))
    }

    /** Starts the request on the target of [message]. */
    fun granted(request: OpenRequest, seeking: Seeking, message: AdmissionMessage.PermitGranted) {
        transition.start(request, message.attempt, message.target, seeking.owner)
        val home = transition.homeOf(request) ?: return
        val chat = request.head.chat ?: return
        if (home == message.target || request.spills == 0) return
        val placed = AdmissionMessage.ChatPlaced(home, request.head.account, chat, message.target)
        transition.sendToOwner(home, placed)
    }

    /** Goes on to the hint of [message], else to the next candidate. */
    fun spilled(request: OpenRequest, message: AdmissionMessage.PermitRedirected) {
        val rest = if (message.hasFreeSlots) request.candidates + message.target else request.candidates
        val hint = message.hint?.takeIf { it in rest }
        val candidates = listOfNotNull(hint) + rest.filter { it != hint }
        askNext(
            request.copy(
                candidates = candidates,
                spills = request.spills + 1,
                ranChatOn = hint.takeIf { message.hintRanChat },
            ),
        )
    }

    /** Goes on to the next candidate, or ends the request when enough owners foresee that it would be late. */
    fun refused(request: OpenRequest, seeking: Seeking, reason: PermitRefusal) = when (reason) {
        PermitRefusal.LATE -> late(request.copy(lateAnswers = request.lateAnswers + 1))
        PermitRefusal.NOT_OWNER -> notOwner(request, seeking)
        PermitRefusal.TARGET_GONE, PermitRefusal.QUEUE_FULL -> askNext(request)
    }

    /** The owner that [seeking] asked has not answered in time. */
    fun overdue(request: OpenRequest, seeking: Seeking) {
        if (seeking.queued) {
            val again = seeking.copy(queued = false, answerDueAt = transition.now + settings.permitTimeout)
            transition.put(request.copy(phase = again))
            sendRequest(request, again)
        } else {
            transition.markUnreachable(seeking.owner)
            useLocalBudget(request, seeking)
        }
    }

    /** All requests that wait for [owner], which cannot be reached, go on without it. */
    fun ownerLost(owner: RouterId) {
        transition.markUnreachable(owner)
        transition.state.requests.values.forEach { request ->
            val seeking = request.phase as? Seeking
            if (seeking?.owner == owner) useLocalBudget(request, seeking)
        }
    }

    private fun sendRequest(request: OpenRequest, seeking: Seeking) {
        val demand = transition.demandOf(request, seeking.target)
        val message = AdmissionMessage.PermitRequest(seeking.attempt, seeking.target, demand)
        transition.emit(IngressEffect.SendToOwner(seeking.owner, message))
    }

    private fun useLocalBudget(request: OpenRequest, seeking: Seeking) {
        val release = AdmissionMessage.PermitReleased(seeking.attempt, seeking.target)
        transition.emit(IngressEffect.SendToOwner(seeking.owner, release))
        if (LocalBudget.allows(transition.state, seeking.target)) {
            transition.startWithoutPermit(request, seeking.target)
        } else {
            askNext(request)
        }
    }

    /** Where two routers' views differ, asking the same owner again would only wait for the views to agree. */
    private fun notOwner(request: OpenRequest, seeking: Seeking) {
        if (transition.ownerOf(seeking.target) == seeking.owner) {
            useLocalBudget(request, seeking)
        } else {
            ask(request, seeking.target)
        }
    }

    private fun late(request: OpenRequest) {
        if (request.lateAnswers >= settings.lateAnswers) {
            transition.endUnanswered(request, RefusalReason.LATE)
        } else {
            askNext(request)
        }
    }

    private fun pause(request: OpenRequest) =
        transition.put(request.copy(phase = BackingOff(transition.now + settings.roundPause)))
}
