package org.cicadaarch.experiment.policy

import org.cicadaarch.admission.AdmissionReducer

/**
 * A named policy of the comparison.
 */
internal class Policy(
    val name: String,
    private val make: (Scenario, VirtualClock, Long, (Turn) -> Unit) -> Dispatcher,
) {
    fun dispatcher(scenario: Scenario, clock: VirtualClock, seed: Long, refused: (Turn) -> Unit): Dispatcher =
        make(scenario, clock, seed, refused)

    companion object {
        /** The baselines and the policies of the router, in the order of the table. */
        val all: List<Policy> =
            DirectDispatcher.Choice.entries.map(::direct) + admission("admission") { AdmissionReducer() }

        private fun direct(choice: DirectDispatcher.Choice) =
            Policy(choice.name.lowercase().replace('_', '-')) { _, clock, seed, _ ->
                DirectDispatcher(choice, clock, seed)
            }

        private fun admission(name: String, reducer: () -> AdmissionReducer) =
            Policy(name) { scenario, clock, seed, refused ->
                AdmissionDispatcher(scenario, clock, reducer(), refused, seed)
            }
    }
}
