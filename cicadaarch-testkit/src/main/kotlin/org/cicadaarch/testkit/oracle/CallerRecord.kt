package org.cicadaarch.testkit.oracle

import org.cicadaarch.model.AccountId
import org.cicadaarch.model.Idempotency
import org.cicadaarch.model.Outcome
import org.cicadaarch.model.RequestId

/**
 * What a caller knows of one request when it is over. [outcome] is null when none came; [answer] is the text received,
 * empty for none, and [expectedAnswer] the whole text that the request should get.
 */
data class CallerRecord(
    val request: RequestId,
    val account: AccountId,
    val idempotency: Idempotency,
    val outcome: Outcome?,
    val answer: String,
    val expectedAnswer: String,
)
