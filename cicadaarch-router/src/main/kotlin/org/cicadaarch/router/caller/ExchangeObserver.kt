package org.cicadaarch.router.caller

import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.Outcome
import org.cicadaarch.model.RequestHead
import org.cicadaarch.request.AttemptFailure
import org.cicadaarch.request.RefusalReason

/**
 * Hears what operators are told of requests, in metrics and logs.
 */
interface ExchangeObserver {
    /** The first byte of the answer goes to the caller. */
    fun onAnswerBegun(head: RequestHead)

    /** An attempt failed. */
    fun onAttemptFailed(head: RequestHead, attempt: AttemptId, failure: AttemptFailure)

    /** An answer came for an attempt that is not current any more, and was dropped. */
    fun onStaleAnswer(attempt: AttemptId)

    /** The engine told how much of the prompt its cache held. */
    fun onUsage(head: RequestHead, usage: PromptUsage)

    /** The request ended. */
    fun onEnded(head: RequestHead, outcome: Outcome, reason: RefusalReason?)
}
