package org.cicadaarch.configuration

/**
 * An error in a fleet document at [path], such as `targets.engine-3.zone`; an empty path means the whole document.
 *
 * [value] is the invalid value, or null if a value is missing; [allowed] describes the valid values. [line] is 1-based,
 * and null if the document was not parsed from text.
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
