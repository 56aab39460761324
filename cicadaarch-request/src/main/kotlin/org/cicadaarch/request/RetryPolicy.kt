package org.cicadaarch.request

import org.cicadaarch.model.Outcome

/**
 * Decides what follows a failed attempt: another target, or the end of the request.
 */
internal class RetryPolicy(private val settings: IngressSettings) {
    /** Goes on with [request] after [failure], or ends it. */
    fun next(request: OpenRequest, failure: AttemptFailure, transition: IngressTransition) {
        val refusal = refusalOf(request, failure, transition)
        when {
            refusal != null -> transition.end(request, outcomeOf(request), refusal)

            else -> {
                if (!failure.provesNotRun) transition.spendRetry()
                transition.startRound(request)
            }
        }
    }

    private fun refusalOf(
        request: OpenRequest,
        failure: AttemptFailure,
        transition: IngressTransition,
    ): RefusalReason? = when {
        failure.provesNotRun && !request.answerBegun && transition.now < request.deadline -> null
        failure.provesNotRun && request.started == 0 -> RefusalReason.LATE
        !request.mayRepeat -> RefusalReason.TARGET_FAILED
        request.crashes >= settings.crashLimit -> RefusalReason.CRASHES_TARGETS
        transition.state.retryBudget < 1.0 -> RefusalReason.RETRY_BUDGET
        request.answerBegun && !transition.canResume(request) -> RefusalReason.TARGET_FAILED
        !request.answerBegun && transition.now >= request.deadline -> RefusalReason.LATE
        else -> null
    }

    private fun outcomeOf(request: OpenRequest): Outcome =
        if (request.started > 0) Outcome.MAY_HAVE_RUN else Outcome.NOT_RUN
}
