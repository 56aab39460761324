package org.cicadaarch.forwarding.format

import kotlin.time.Duration

/**
 * What the headers of a caller's request say. [credential] is the caller's secret; [promptParts] are the parts of the
 * prompt in order, the last of which belongs to this request or its session alone; [lastEventId] is the id of the last
 * event that the caller has.
 */
data class RequestMetadata(
    val requestId: String?,
    val timeout: Duration?,
    val credential: String?,
    val promptParts: List<PromptPart>,
    val lastEventId: String?,
)
