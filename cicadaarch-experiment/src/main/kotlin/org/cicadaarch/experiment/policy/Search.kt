package org.cicadaarch.experiment.policy

import kotlin.time.Duration
import org.cicadaarch.admission.PermitDemand
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.TargetId

/**
 * An ingress's search for a permit for one attempt, along [order].
 */
internal class Search(val attempt: AttemptId, val turn: Turn, val order: List<TargetId>) {
    val tried = LinkedHashSet<TargetId>()
    var asked: TargetId = order.first()
    var unanswered = false
    var asks = 0
    var spills = 0
    var ranChat: TargetId? = null
    var late = 0
    var grantedAt = 0L

    fun demand(fleet: FleetModel, timeAllowed: Duration = Duration.ZERO) = PermitDemand(
        account = fleet.accountId(turn.account),
        chat = fleet.chatId(turn.chat),
        priority = fleet.priority,
        timeAllowed = timeAllowed,
        promptTokens = turn.promptTokens,
        outputTokens = turn.outputTokens,
        isHome = asked == order.first(),
        isReturning = turn.returning,
        redirects = spills,
        ranChat = asked == ranChat,
    )
}
