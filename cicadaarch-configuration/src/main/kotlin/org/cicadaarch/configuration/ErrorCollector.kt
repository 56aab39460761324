package org.cicadaarch.configuration

/**
 * Gathers the errors of one document and the lines of its paths.
 */
internal class ErrorCollector {
    private val errors = mutableListOf<DocumentError>()
    private val lines = mutableMapOf<String, Int>()

    /** Remembers that [path] begins on [line], unless it is known to begin before. */
    fun locate(path: String, line: Int) {
        lines.putIfAbsent(path, line)
    }

    /** Adds an error on the line of [path], or of the nearest path above it. */
    fun add(path: String, value: String?, allowed: String) {
        errors += DocumentError(path = path, value = value, allowed = allowed, line = lineOf(path))
    }

    /** Adds those of [found] whose paths have no error yet: one fault of a value is reported once. */
    fun addAll(found: List<DocumentError>) {
        val known = errors.mapTo(mutableSetOf()) { it.path }
        found.filter { it.path !in known }.forEach { add(path = it.path, value = it.value, allowed = it.allowed) }
    }

    fun isEmpty(): Boolean = errors.isEmpty()

    /** The errors in the order of their lines. */
    fun sorted(): List<DocumentError> = errors.sortedWith(compareBy({ it.line }, { it.path }))

    private fun lineOf(path: String): Int? =
        generateSequence(path) { if (it.isEmpty()) null else it.substringBeforeLast('.', "") }
            .firstNotNullOfOrNull { lines[it] }
}
