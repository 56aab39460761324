package org.cicadaarch.dispatch.target

import org.cicadaarch.model.TargetId

/**
 * What an attempt requires of its target.
 *
 * [promptKey] identifies the prompt that the target may have cached, if any; the fleet keeps [promptDemand] requests
 * with it running at once. Targets in [excluded] are not selected, those in
 * [avoided] only if no other one is below the load bound. [tieBreaker] spreads attempts over targets that are
 * otherwise equal. With [mayBeRepeated], the request may run more than once.
 */
data class SelectionCriteria(
    val promptKey: String?,
    val excluded: Set<TargetId>,
    val tieBreaker: Int,
    val promptDemand: Double = 0.0,
    val avoided: Set<TargetId> = emptySet(),
    val mayBeRepeated: Boolean = false,
)
