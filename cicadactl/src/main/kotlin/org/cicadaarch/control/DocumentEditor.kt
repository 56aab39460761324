package org.cicadaarch.control

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import org.cicadaarch.configuration.DocumentDifference
import org.cicadaarch.configuration.FleetDocumentParser
import org.cicadaarch.configuration.FleetDocumentValidator
import org.cicadaarch.model.fleet.FleetDocument

/**
 * Edits the document in [store]. Changes are recorded as made by [author].
 */
internal class DocumentEditor(private val store: FleetStore, private val author: String) {
    private val conflictReader = ConflictReader(store)

    /** Replaces the document by [document] if it is still at the revision [expected], 0 if there is none. */
    fun replace(document: FleetDocument, expected: Long): Either<ControlError, Change> = either {
        val current = store.read().bind()
        if ((current?.revision ?: 0) != expected) raise(conflictReader.conflict(document, expected, current))
        val differences = differences(current, document).bind()
        if (current != null && differences.isEmpty()) return@either Change(current.revision, differences)
        val revision = store.write(StoredDocument.textOf(document, author), expected)
            .mapLeft { withConflictDetails(it, document) }
            .bind()
        Change(revision, differences)
    }

    /** Applies [edit] to the store's document. After a conflict, reads the document again and repeats the edit. */
    fun edit(edit: (FleetDocument) -> Either<ControlError, FleetDocument>): Either<ControlError, Change> {
        var conflict: ControlError.Conflict? = null
        repeat(MAX_CONFLICTS) {
            val result = editOnce(edit)
            conflict = result.leftOrNull() as? ControlError.Conflict ?: return result
        }
        return checkNotNull(conflict).left()
    }

    /** Returns the store's document, or null if there is none. */
    fun current(): Either<ControlError, StoredDocument?> = store.read()

    /** Returns the store's document, or an error if there is none. */
    fun stored(): Either<ControlError, StoredDocument> =
        store.read().flatMap { it?.right() ?: ControlError.Failed("the store has no document").left() }

    /** Returns the differences from [current] to [document]; none if [current] is null. */
    fun differences(
        current: StoredDocument?,
        document: FleetDocument,
    ): Either<ControlError, List<DocumentDifference>> = when (current) {
        null -> emptyList<DocumentDifference>().right()
        else -> parsed(current).map { DocumentDifference.between(before = it, after = document) }
    }

    private fun editOnce(edit: (FleetDocument) -> Either<ControlError, FleetDocument>): Either<ControlError, Change> =
        either {
            val current = stored().bind()
            val before = parsed(current).bind()
            val after = edit(before).bind()
            val errors = FleetDocumentValidator.validate(after)
            if (errors.isNotEmpty()) raise(ControlError.InvalidDocument("the edited document", errors))
            replace(after, current.revision).bind()
        }

    private fun parsed(stored: StoredDocument): Either<ControlError, FleetDocument> =
        FleetDocumentParser.parse(stored.text)
            .mapLeft { ControlError.InvalidDocument("store at revision ${stored.revision}", it) }

    private fun withConflictDetails(error: ControlError, document: FleetDocument): ControlError = when (error) {
        is ControlError.Conflict -> conflictReader.conflict(document, error.expected, error.current)
        else -> error
    }

    private companion object {
        const val MAX_CONFLICTS = 5
    }
}
