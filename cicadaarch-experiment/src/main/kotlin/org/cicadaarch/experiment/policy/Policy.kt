package org.cicadaarch.experiment.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.admission.AdmissionReducer
import org.cicadaarch.admission.AdmissionSettings

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
        /** The baselines and the variants of the router's policy, in the order of the table. */
        val all: List<Policy> = DirectDispatcher.Choice.entries.map(::direct) + listOf(
            admission("admission", AdmissionSettings()),
            admission("no-bound", AdmissionSettings(boundsLoad = false, newChatMultiple = 1_000.0)),
            admission("no-spill-memory", AdmissionSettings(followsSpills = false)),
            admission("no-room-for-returning", AdmissionSettings(newChatMultiple = 1_000.0)),
            admission("no-patience", AdmissionSettings(homePatience = Duration.ZERO)),
            admission("patience-1s", AdmissionSettings(homePatience = 1.seconds)),
            admission("first-come", AdmissionSettings(sharesFairly = false)),
        )

        private fun direct(choice: DirectDispatcher.Choice) =
            Policy(choice.name.lowercase().replace('_', '-')) { _, clock, seed, _ ->
                DirectDispatcher(choice, clock, seed)
            }

        private fun admission(name: String, settings: AdmissionSettings) =
            Policy(name) { scenario, clock, seed, refused ->
                AdmissionDispatcher(scenario, clock, AdmissionReducer(settings), refused, seed)
            }
    }
}
