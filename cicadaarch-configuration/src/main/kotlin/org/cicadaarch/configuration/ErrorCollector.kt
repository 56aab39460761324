package org.cicadaarch.configuration

/**
 * Collects the errors of one document and maps its paths to line numbers.
 */
internal class ErrorCollector {
    private val errors = mutableListOf<DocumentError>()
    private val lines = mutableMapOf<String, Int>()

    /** Records that [path] starts on [line]; later calls for the same path are ignored. */
    fun recordLine(path: String, line: Int) {
        lines.putIfAbsent(path, line)
    }

    /** Adds an error with the line of [path], or of its nearest ancestor that has one. */
    fun add(path: String, value: String?, allowed: String) {
        errors += DocumentError(path = path, value = value, allowed = allowed, line = lineOf(path))
    }

    /** Adds the errors in [found] whose paths have none yet, so that an invalid value is reported only once. */
    fun addAll(found: List<DocumentError>) {
        val known = errors.mapTo(mutableSetOf()) { it.path }
        found.filter { it.path !in known }.forEach { add(path = it.path, value = it.value, allowed = it.allowed) }
    }

    fun isEmpty(): Boolean = errors.isEmpty()

    fun sortedByLine(): List<DocumentError> = errors.sortedWith(compareBy({ it.line }, { it.path }))

    private fun lineOf(path: String): Int? =
        generateSequence(path) { if (it.isEmpty()) null else it.substringBeforeLast('.', "") }
            .firstNotNullOfOrNull { lines[it] }
}
