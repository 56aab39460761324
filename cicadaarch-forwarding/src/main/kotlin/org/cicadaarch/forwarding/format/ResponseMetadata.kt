package org.cicadaarch.forwarding.format

import org.cicadaarch.dispatch.target.LoadReport

/**
 * What the head of a target's answer says. [requestId] is the id that the target answers; [isNotStarted] states that
 * it did not run the request; [isSigned] tells whether the target vouches for the body.
 */
data class ResponseMetadata(
    val requestId: String?,
    val isNotStarted: Boolean,
    val isSigned: Boolean,
    val load: LoadReport?,
)
