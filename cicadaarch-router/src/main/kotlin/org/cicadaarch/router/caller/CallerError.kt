package org.cicadaarch.router.caller

import io.netty.handler.codec.http.HttpResponseStatus
import org.cicadaarch.model.Outcome
import org.cicadaarch.request.RefusalReason

/**
 * An answer that the router gives itself instead of a target. [code] is for programs, [message] for people.
 */
data class CallerError(
    val status: HttpResponseStatus,
    val code: String,
    val message: String,
    val outcome: Outcome = Outcome.NOT_RUN,
) {
    companion object {
        /** The answer for a request that ended with [outcome] for [reason]. */
        fun of(outcome: Outcome, reason: RefusalReason): CallerError = CallerError(
            status = statusOf(outcome, reason),
            code = reason.label,
            message = "the request ended as ${outcome.label}: ${reason.label}",
            outcome = outcome,
        )

        private fun statusOf(outcome: Outcome, reason: RefusalReason): HttpResponseStatus = when (reason) {
            RefusalReason.UNKNOWN_SERVICE -> HttpResponseStatus.NOT_FOUND

            RefusalReason.ACCOUNT_LIMIT -> HttpResponseStatus.TOO_MANY_REQUESTS

            RefusalReason.KEY_CLAIMED -> HttpResponseStatus.CONFLICT

            RefusalReason.NO_CONFIGURATION,
            RefusalReason.PRIORITY_NOT_ADMITTED,
            RefusalReason.LEDGER_UNAVAILABLE,
            -> HttpResponseStatus.SERVICE_UNAVAILABLE

            RefusalReason.LATE,
            RefusalReason.TARGET_FAILED,
            RefusalReason.CRASHES_TARGETS,
            RefusalReason.RETRY_BUDGET,
            RefusalReason.CLIENT_DISCONNECTED,
            -> if (outcome ==
                Outcome.NOT_RUN
            ) {
                HttpResponseStatus.SERVICE_UNAVAILABLE
            } else {
                HttpResponseStatus.BAD_GATEWAY
            }
        }
    }
}
