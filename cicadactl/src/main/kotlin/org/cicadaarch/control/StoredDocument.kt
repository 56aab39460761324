package org.cicadaarch.control

import org.cicadaarch.configuration.FleetDocumentWriter
import org.cicadaarch.model.fleet.FleetDocument

/**
 * The [text] of the fleet document in the store at [revision].
 */
data class StoredDocument(val revision: Long, val text: String) {
    /** The operator who wrote the text, or null if the text does not name one. */
    val author: String? get() = commentAfter(AUTHOR_COMMENT, text)

    /** The text with its revision in a comment, so that an edited copy can be applied. */
    val textWithRevision: String get() = "$REVISION_COMMENT$revision\n$text"

    companion object {
        private const val REVISION_COMMENT = "# revision: "
        private const val AUTHOR_COMMENT = "# changed by: "

        /** Returns the text of [document] with [author] in a comment. */
        fun textOf(document: FleetDocument, author: String): String =
            AUTHOR_COMMENT + author.lineSequence().first() + "\n" + FleetDocumentWriter.write(document)

        /** Returns the revision that the edited copy [text] is based on, or null if it names none. */
        fun revisionIn(text: String): Long? = commentAfter(REVISION_COMMENT, text)?.toLongOrNull()

        private fun commentAfter(start: String, text: String): String? = text.lineSequence()
            .takeWhile { it.startsWith("#") }
            .firstOrNull { it.startsWith(start) }
            ?.removePrefix(start)
            ?.trim()
    }
}
