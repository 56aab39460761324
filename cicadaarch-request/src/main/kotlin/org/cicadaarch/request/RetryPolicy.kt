package org.cicadaarch.request

/**
 * Decides whether a request may be offered to a target again after a failed attempt.
 */
internal class RetryPolicy(private val settings: IngressSettings) {
    /** Why [request] must not be offered again after [failure], or null when it may. */
    fun refusal(request: OpenRequest, failure: AttemptFailure, transition: IngressTransition): RefusalReason? {
        val isLate = transition.now >= request.deadline
        return when {
            failure.provesNotRun && !request.answerBegun && !isLate -> null
            failure.provesNotRun && request.started == 0 -> RefusalReason.LATE
            !request.mayRepeat -> RefusalReason.TARGET_FAILED
            crashes(request, transition) >= settings.crashLimit -> RefusalReason.CRASHES_TARGETS
            transition.state.retryBudget < 1.0 -> RefusalReason.RETRY_BUDGET
            request.answerBegun && !transition.canResume(request) -> RefusalReason.TARGET_FAILED
            !request.answerBegun && isLate -> RefusalReason.LATE
            else -> null
        }
    }

    private fun crashes(request: OpenRequest, transition: IngressTransition): Int =
        transition.state.suspects.crashes(request.head.fingerprint)
}
