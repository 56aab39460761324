package org.cicadaarch.testkit.oracle

import org.cicadaarch.model.RequestId
import org.cicadaarch.model.TargetId

/**
 * A promise to callers that was broken.
 */
sealed class Violation {
    /** [request] has no outcome. */
    data class Lost(val request: RequestId) : Violation()

    /** The non-idempotent [requests], resends of one another or a single one, ran once on each of [targets]. */
    data class Doubled(val requests: List<RequestId>, val targets: List<TargetId>) : Violation()

    /** [request] ran on [targets] although its outcome denies it. */
    data class FalseNotRun(val request: RequestId, val targets: List<TargetId>) : Violation()

    /** [request] is said to be completed, but the end of its answer is missing. */
    data class Incomplete(val request: RequestId) : Violation()

    /** [request] got an answer that is not its own but that of [owner], null when it is nobody's. */
    data class Foreign(val request: RequestId, val owner: RequestId?) : Violation()

    /** [target] ran something under [request] that no caller sent; null when the run names no request. */
    data class Unknown(val request: RequestId?, val target: TargetId) : Violation()
}
