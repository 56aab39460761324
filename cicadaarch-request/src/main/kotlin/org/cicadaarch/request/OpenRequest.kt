package org.cicadaarch.request

import org.cicadaarch.admission.PermitDemand
import org.cicadaarch.model.Idempotency
import org.cicadaarch.model.RequestHead
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * A request that its ingress has not finished.
 *
 * [attempts] counts permit requests, [possibleRuns] the attempts that were offered to a target without proof that they
 * did not run. [delivered] counts stream events that the caller has. [candidates] are the targets still to be asked in
 * this round, [spills] and [lateRefusals] the owners of this round that sent the request on, or foresaw that it would
 * be late. [previousChatTarget] is the target that an owner named as the one that ran the chat before.
 */
data class OpenRequest(
    val head: RequestHead,
    val arrivedAt: Timestamp,
    val phase: RequestPhase,
    val candidates: List<TargetId> = emptyList(),
    val failedTargets: Set<TargetId> = emptySet(),
    val attempts: Int = 0,
    val possibleRuns: Int = 0,
    val spills: Int = 0,
    val lateRefusals: Int = 0,
    val previousChatTarget: TargetId? = null,
    val delivered: Int = 0,
    val responseStarted: Boolean = false,
) {
    /** When the first byte of the answer is due. */
    val deadline: Timestamp get() = arrivedAt + head.timeAllowed

    /** True when the request may be offered to a target again although an attempt may have run. */
    val isSafeToRetry: Boolean get() = head.idempotency is Idempotency.Idempotent

    /** What an admission owner is told of this request at [now] when it asks for [target]. */
    fun permitDemand(target: TargetId, home: TargetId?, now: Timestamp): PermitDemand = PermitDemand(
        account = head.account,
        chat = head.chat,
        priority = head.priority,
        timeAllowed = deadline - now,
        promptTokens = head.promptTokens,
        outputTokens = head.outputTokens,
        isHome = target == home,
        isReturning = (head.turn ?: 1) > 1,
        redirects = spills,
        ranChat = target == previousChatTarget,
    )
}
