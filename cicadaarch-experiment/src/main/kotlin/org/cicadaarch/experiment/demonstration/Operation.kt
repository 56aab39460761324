package org.cicadaarch.experiment.demonstration

import org.cicadaarch.model.AccountId
import org.cicadaarch.model.Outcome

/**
 * One thing that a caller wants done, over all its resends, and how it ended.
 *
 * [sends] counts the requests that were sent for it. [isWhole] is true when the answer is all of the expected text.
 */
internal data class Operation(
    val kind: OperationKind,
    val account: AccountId,
    val key: String?,
    val sends: Int,
    val outcome: Outcome?,
    val isWhole: Boolean,
    val firstByteMilliseconds: Long?,
    val promptTokens: Int = 0,
    val cachedTokens: Int = 0,
    val isReturning: Boolean = false,
)
