package org.cicadaarch.admission

import org.cicadaarch.model.AccountId
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.fleet.Target

/**
 * What the configuration and the load aggregator say about the target [id] when its owner decides.
 */
internal class TargetContext(
    val id: TargetId,
    val target: Target,
    val group: LoadGroup,
    val groupSize: OwnedTargets.GroupSize,
    val groupLoad: GroupLoad?,
    private val fleet: FleetDocument,
) {
    /** The bound on the target's load, as a multiple of its group's mean load. */
    val loadMultiple: Double
        get() = fleet.preset.loadMultiples[target.service]
            ?: fleet.services[target.service]?.loadMultiple
            ?: DEFAULT_LOAD_MULTIPLE

    fun weightOf(account: AccountId): Int = fleet.accounts[account]?.weight ?: 1

    private companion object {
        const val DEFAULT_LOAD_MULTIPLE = 1.25
    }
}
