package org.cicadaarch.forwarding.format

import kotlin.time.Duration
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.TargetId

/**
 * What a target is told besides the caller's own headers. [lastEventId] is the id of the last event that the caller
 * has, if a stream is to go on; [cacheSource] is a target that may keep parts of the prompt.
 */
data class AttemptMetadata(
    val target: TargetId,
    val account: AccountId?,
    val timeLeft: Duration,
    val priority: Int,
    val lastEventId: String?,
    val cacheSource: RouterAddress?,
)
