package org.cicadaarch.configuration.dissemination

import org.cicadaarch.configuration.dissemination.ConfigurationMessage.DocumentSent
import org.cicadaarch.configuration.dissemination.ConfigurationMessage.RevisionAnnounced
import org.cicadaarch.model.Revision
import org.cicadaarch.model.Step

/**
 * Reducers with one mechanism disabled, to test that the oracle detects each violation.
 */
object FaultyReducers {
    /** Forgets the installed document before each new one, so that any valid document is installed. */
    fun withoutRevisionCheck(reducer: ConfigurationReducer): Reduce = { state, event, now ->
        val isDocument = event is ConfigurationEvent.Parsed ||
            (event is ConfigurationEvent.Received && event.message is DocumentSent)
        reducer.reduce(if (isDocument) state.copy(installed = null) else state, event, now)
    }

    /** Installs parsed documents under the newest revision that any peer reported, if that is newer than their own. */
    fun withMixedRevisions(reducer: ConfigurationReducer): Reduce = { state, event, now ->
        val newest = state.peers.values.maxOrNull() ?: Revision.NONE
        val mixed = when (event) {
            is ConfigurationEvent.Parsed -> event.copy(revision = maxOf(event.revision, newest))
            else -> event
        }
        reducer.reduce(state, mixed, now)
    }

    /** Sends no announcements and ignores digests, so that only the watchers learn of a change. */
    fun withoutDissemination(reducer: ConfigurationReducer): Reduce = { state, event, now ->
        val step = if (event is ConfigurationEvent.DigestReceived) Step(state) else reducer.reduce(state, event, now)
        step.copy(
            effects = step.effects.filterNot {
                it is ConfigurationEffect.Send && it.message is RevisionAnnounced
            },
        )
    }
}
