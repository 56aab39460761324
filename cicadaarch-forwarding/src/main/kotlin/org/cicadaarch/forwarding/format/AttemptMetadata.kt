package org.cicadaarch.forwarding.format

import kotlin.time.Duration
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.TargetId

/**
 * Metadata for a target, sent along with the client's own headers. [lastEventId] is the id of the last event that the
 * client received, if a stream is to be resumed; [cacheSource] is a target that may have parts of the prompt in its
 * cache.
 */
data class AttemptMetadata(
    val target: TargetId,
    val account: AccountId?,
    val timeLeft: Duration,
    val priority: Int,
    val lastEventId: String?,
    val cacheSource: RouterAddress?,
)
