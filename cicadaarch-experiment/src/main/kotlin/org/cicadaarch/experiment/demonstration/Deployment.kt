package org.cicadaarch.experiment.demonstration

import kotlin.random.Random
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.fleet.ServiceKind

/**
 * What the callers of one of the users' organisations address. The first accounts are large: they send most.
 */
internal class Deployment(val model: String, val plainService: String, private val accounts: List<AccountId>) {
    /** An account by chance; every account of the first [LARGE_ACCOUNTS] comes four times as often as the others. */
    fun account(random: Random): AccountId {
        val large = accounts.take(LARGE_ACCOUNTS)
        return (List(LARGE_WEIGHT) { large }.flatten() + accounts.drop(LARGE_ACCOUNTS)).random(random)
    }

    companion object {
        private const val LARGE_ACCOUNTS = 3
        private const val LARGE_WEIGHT = 4

        /** The deployment that [fleet] describes, which has one model and one plain service. */
        fun of(fleet: FleetDocument): Deployment = Deployment(
            model = fleet.services.entries.first { it.value.kind == ServiceKind.MODEL }.key.value,
            plainService = fleet.services.entries.first { it.value.kind == ServiceKind.PLAIN }.key.value,
            accounts = fleet.accounts.keys.toList(),
        )
    }
}
