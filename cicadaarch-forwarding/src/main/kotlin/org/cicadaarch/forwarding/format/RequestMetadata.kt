package org.cicadaarch.forwarding.format

import kotlin.time.Duration
import org.cicadaarch.dispatch.request.RequestWork

/**
 * Metadata in the headers of a client request. [timeout] is how long the client waits for the response; [credential] is
 * the client's API key; [promptParts] are the sections of the prompt in order, the last of which is used only by this
 * request or its session; [lastEventId] is the id of the last event that the client received, if it resumes a stream.
 * [work] is what the request costs a model engine, if the client states it.
 */
data class RequestMetadata(
    val requestId: String?,
    val timeout: Duration?,
    val credential: String?,
    val promptParts: List<PromptPart>,
    val lastEventId: String?,
    val work: RequestWork? = null,
) {
    /** The sections of the prompt that other requests may have too. */
    val sharedPromptParts: List<PromptPart> get() = promptParts.dropLast(1)
}
