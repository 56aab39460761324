package org.cicadaarch.forwarding.format

import org.cicadaarch.dispatch.target.LoadReport
import org.cicadaarch.dispatch.target.TargetNotice

/**
 * Metadata in the head of a target's response. [requestId] is the id of the request that the target answered;
 * [isNotStarted] states that the target did not run the request; [isSigned] tells whether the target signed the
 * response; [load] and [notice] are what the target says of itself.
 */
data class ResponseMetadata(
    val requestId: String?,
    val isNotStarted: Boolean,
    val isSigned: Boolean,
    val load: LoadReport?,
    val notice: TargetNotice? = null,
)
