package org.cicadaarch.control

import org.cicadaarch.configuration.FleetDocumentWriter
import org.cicadaarch.model.fleet.FleetDocument

/**
 * The fleet document's [text] in the store at [revision], and the operator named in it.
 */
data class StoredDocument(val revision: Long, val text: String) {
    /** Who wrote the text, null when it does not say. */
    val author: String? get() = commentAfter(AUTHOR_COMMENT, text)

    /** The text with its revision, from which an edited copy can be applied. */
    val textWithRevision: String get() = "$REVISION_COMMENT$revision\n$text"

    companion object {
        private const val REVISION_COMMENT = "# revision: "
        private const val AUTHOR_COMMENT = "# changed by: "

        /** The text under which [author] stores [document]. */
        fun textOf(document: FleetDocument, author: String): String =
            AUTHOR_COMMENT + author.lineSequence().first() + "\n" + FleetDocumentWriter.write(document)

        /** The revision that an edited copy of a shown document is based on, null when [text] names none. */
        fun revisionIn(text: String): Long? = commentAfter(REVISION_COMMENT, text)?.toLongOrNull()

        private fun commentAfter(start: String, text: String): String? = text.lineSequence()
            .takeWhile { it.startsWith("#") }
            .firstOrNull { it.startsWith(start) }
            ?.removePrefix(start)
            ?.trim()
    }
}
