package org.cicadaarch.configuration

/**
 * A fault of a fleet document at [path], such as `targets.engine-3.zone`; the path is empty for the whole document.
 *
 * [value] is what the document says, null when it says nothing; [allowed] is what may stand there. [line] counts from
 * one and is null for a document that was not read from text.
 */
data class DocumentError(val path: String, val value: String?, val allowed: String, val line: Int? = null) {
    override fun toString(): String = buildString {
        append(path.ifEmpty { "document" })
        if (line != null) append(" (line ").append(line).append(')')
        append(": ")
        append(if (value == null) "missing" else "found \"$value\"")
        append("; allowed: ").append(allowed)
    }
}
