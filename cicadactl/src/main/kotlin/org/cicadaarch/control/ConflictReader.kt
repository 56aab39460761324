package org.cicadaarch.control

import arrow.core.getOrElse
import org.cicadaarch.configuration.DocumentDifference
import org.cicadaarch.configuration.FleetDocumentParser
import org.cicadaarch.model.fleet.FleetDocument

/**
 * Finds the changes that an edit conflicts with, as far back as the history in [store] reaches.
 */
internal class ConflictReader(private val store: FleetStore) {
    /** Returns the conflict between [document], an edit of the revision [expected], and the [current] document. */
    fun conflict(document: FleetDocument, expected: Long, current: StoredDocument?): ControlError.Conflict {
        val history = if (current == null) emptyList() else store.historyFrom(expected, current)
        val base = history.firstOrNull()?.takeIf { it.revision == expected }
        return ControlError.Conflict(
            expected = expected,
            current = current,
            others = if (base == null) emptyList() else history.zipWithNext(::changeBetween),
            own = differences(base ?: current, document),
            isBaseKnown = base != null,
        )
    }

    private fun changeBetween(before: StoredDocument, after: StoredDocument): RecordedChange {
        val document = FleetDocumentParser.parse(after.text).getOrNull()
        return RecordedChange(after.revision, after.author, document?.let { differences(before, it) }.orEmpty())
    }

    private fun differences(before: StoredDocument?, after: FleetDocument): List<DocumentDifference> {
        val document = before?.let { stored -> FleetDocumentParser.parse(stored.text).getOrElse { null } }
        return document?.let { DocumentDifference.between(before = it, after = after) }.orEmpty()
    }
}
