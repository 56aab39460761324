package org.cicadaarch.experiment.policy

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import org.cicadaarch.admission.AdmissionReducer
import org.cicadaarch.admission.AdmissionSettings

/**
 * A named policy of the comparison.
 */
internal class Policy(val name: String, private val make: (PolicyRun, Long, (Turn) -> Unit) -> Dispatcher) {
    fun dispatcher(run: PolicyRun, seed: Long, refused: (Turn) -> Unit): Dispatcher = make(run, seed, refused)

    companion object {
        /** The baselines and the variants of the router's policy, in the order of the table. */
        val all: List<Policy> = DirectDispatcher.Choice.entries.map(::direct) + listOf(
            admission("admission", AdmissionSettings()),
            admission("no-bound", AdmissionSettings(enforcesLoadBound = false, newChatLoadMultiple = 1_000.0)),
            admission("no-spill-memory", AdmissionSettings(redirectsToLastTarget = false)),
            admission("no-room-for-returning", AdmissionSettings(newChatLoadMultiple = 1_000.0)),
            admission("new-chats-0.8", AdmissionSettings(newChatLoadMultiple = 0.8)),
            admission("no-patience", AdmissionSettings(prefillTimePerToken = Duration.ZERO)),
            admission("patience-150us", AdmissionSettings(prefillTimePerToken = 150.microseconds)),
            admission("patience-600us", AdmissionSettings(prefillTimePerToken = 600.microseconds)),
            admission("no-steady-period", AdmissionSettings(), steadies = false),
            admission("first-come", AdmissionSettings(usesFairQueueing = false)),
        )

        private fun direct(choice: DirectDispatcher.Choice) =
            Policy(choice.name.lowercase().replace('_', '-')) { run, seed, _ ->
                DirectDispatcher(choice, run.clock, seed)
            }

        private fun admission(name: String, settings: AdmissionSettings, steadies: Boolean = true) =
            Policy(name) { run, seed, refused ->
                AdmissionDispatcher(run, AdmissionReducer(settings), refused, steadies, seed)
            }
    }
}
