package org.cicadaarch.request

import org.cicadaarch.admission.PermitDemand
import org.cicadaarch.model.Idempotency
import org.cicadaarch.model.RequestHead
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * A request that its ingress has not ended.
 *
 * [attempts] counts the attempts that were given an id, each for a permit request or a start without a permit.
 * [possibleRuns] counts those that were sent to a target and may have run. [delivered] counts the events of the
 * response stream that were forwarded to the client.
 *
 * [candidates] are the targets that remain to be tried in the current round. [redirects] counts the owners that
 * redirected the request to another target in this round, and [lateRefusals] those that refused it as late.
 * [previousChatTarget] is the target that an owner named as the one that ran the chat last.
 */
data class IngressRequest(
    val head: RequestHead,
    val arrivedAt: Timestamp,
    val phase: IngressPhase,
    val candidates: List<TargetId> = emptyList(),
    val failedTargets: Set<TargetId> = emptySet(),
    val attempts: Int = 0,
    val possibleRuns: Int = 0,
    val redirects: Int = 0,
    val lateRefusals: Int = 0,
    val previousChatTarget: TargetId? = null,
    val delivered: Int = 0,
    val responseStarted: Boolean = false,
) {
    /** When the first byte of the response is due. */
    val deadline: Timestamp get() = arrivedAt + head.timeAllowed

    /** Whether the request may be sent to a target again although an earlier attempt may have run. */
    val isSafeToRetry: Boolean get() = head.idempotency is Idempotency.Idempotent

    /** What a permit request for [target], sent at [now], tells the owner. [home] is the most preferred target. */
    fun permitDemand(target: TargetId, home: TargetId?, now: Timestamp): PermitDemand = PermitDemand(
        account = head.account,
        chat = head.chat,
        priority = head.priority,
        timeAllowed = deadline - now,
        promptTokens = head.promptTokens,
        outputTokens = head.outputTokens,
        isHome = target == home,
        isReturning = (head.turn ?: 1) > 1,
        redirects = redirects,
        ranChat = target == previousChatTarget,
    )
}
