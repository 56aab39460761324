package org.cicadaarch.request

/**
 * Decides whether a request may be sent to a target again after a failed attempt.
 */
internal class RetryEligibility(private val settings: IngressSettings) {
    /** Why [request] must not be retried after [failure], or null when it may be retried. */
    fun reasonNotToRetry(
        request: IngressRequest,
        failure: AttemptFailure,
        transition: IngressTransition,
    ): RefusalReason? {
        val isLate = transition.now >= request.deadline
        return when {
            failure.provesNotRun && !request.responseStarted && !isLate -> null
            failure.provesNotRun && request.possibleRuns == 0 -> RefusalReason.LATE
            !request.isSafeToRetry -> RefusalReason.TARGET_FAILED
            crashCount(request, transition) >= settings.maxCrashes -> RefusalReason.CRASHES_TARGETS
            transition.state.retryBudget < 1.0 -> RefusalReason.RETRY_BUDGET
            request.responseStarted && !transition.canResume(request) -> RefusalReason.TARGET_FAILED
            !request.responseStarted && isLate -> RefusalReason.LATE
            else -> null
        }
    }

    private fun crashCount(request: IngressRequest, transition: IngressTransition): Int =
        transition.state.crashHistory.crashCount(request.head.fingerprint)
}
