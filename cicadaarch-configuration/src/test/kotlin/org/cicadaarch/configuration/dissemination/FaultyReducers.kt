package org.cicadaarch.configuration.dissemination

import org.cicadaarch.configuration.dissemination.ConfigurationMessage.DocumentSent
import org.cicadaarch.configuration.dissemination.ConfigurationMessage.RevisionAnnounced
import org.cicadaarch.model.Revision
import org.cicadaarch.model.Step

/**
 * Reducers that each lack one mechanism, to show that the oracle notices.
 */
object FaultyReducers {
    /** Forgets what is in force before each document that comes: any valid document is installed. */
    fun withoutRevisionCheck(reducer: ConfigurationReducer): Reduce = { state, event, now ->
        val isDocument = event is ConfigurationEvent.Parsed ||
            (event is ConfigurationEvent.Received && event.message is DocumentSent)
        reducer.reduce(if (isDocument) state.copy(installed = null) else state, event, now)
    }

    /** Takes the revision of a document for the next one's. */
    fun withMixedRevisions(reducer: ConfigurationReducer): Reduce = { state, event, now ->
        val newest = state.peers.values.maxOrNull() ?: Revision.NONE
        val mixed = when (event) {
            is ConfigurationEvent.Parsed -> event.copy(revision = maxOf(event.revision, newest))
            else -> event
        }
        reducer.reduce(state, mixed, now)
    }

    /** Sends no offer and hears no digest: only the watchers learn of a change. */
    fun withoutSpread(reducer: ConfigurationReducer): Reduce = { state, event, now ->
        val step = if (event is ConfigurationEvent.DigestReceived) Step(state) else reducer.reduce(state, event, now)
        step.copy(
            effects = step.effects.filterNot {
                it is ConfigurationEffect.Send && it.message is RevisionAnnounced
            },
        )
    }
}
