package org.cicadaarch.dispatch.target

import org.cicadaarch.model.TargetId

/**
 * What an attempt asks of its target: the [promptKey] whose cache it could use, the targets to pass over, and a number
 * that [spread]s requests over equal targets.
 */
data class TargetWish(val promptKey: String?, val excluded: Set<TargetId>, val spread: Int)
