package org.cicadaarch.configuration

import org.cicadaarch.model.fleet.FleetDocument

/**
 * Writes a fleet document as canonical YAML; [FleetDocumentParser] reads it back to an equal document.
 *
 * Keys are written in a fixed order and named entries in document order. Default values are omitted.
 */
object FleetDocumentWriter {
    /** Returns [document] as YAML that ends with a line feed. */
    fun write(document: FleetDocument): String = buildString { appendMapping(DocumentTree.of(document), indent = "") }

    private fun StringBuilder.appendMapping(node: DocumentNode.Mapping, indent: String) {
        node.entries.entries.forEachIndexed { index, (key, value) ->
            if (index > 0) append(indent)
            append(scalar(key)).append(':')
            appendValue(value, indent)
        }
    }

    private fun StringBuilder.appendValue(node: DocumentNode, indent: String) {
        when (node) {
            is DocumentNode.Text -> append(' ').append(scalar(node.value)).append('\n')
            is DocumentNode.Sequence -> appendSequence(node, indent + INDENT)
            is DocumentNode.Mapping -> appendNested(node, indent + INDENT)
        }
    }

    private fun StringBuilder.appendNested(node: DocumentNode.Mapping, indent: String) {
        if (node.entries.isEmpty()) {
            append(" {}\n")
        } else {
            append('\n').append(indent)
            appendMapping(node, indent)
        }
    }

    private fun StringBuilder.appendSequence(node: DocumentNode.Sequence, indent: String) {
        if (node.items.all { it is DocumentNode.Text }) {
            val texts = node.items.filterIsInstance<DocumentNode.Text>()
            append(texts.joinToString(prefix = " [", postfix = "]\n") { scalar(it.value) })
            return
        }
        append('\n')
        node.items.filterIsInstance<DocumentNode.Mapping>().forEach { item ->
            append(indent).append("- ")
            appendMapping(item, indent + INDENT)
        }
    }

    private fun scalar(text: String): String = if (isPlain(text)) text else quoted(text)

    private fun isPlain(text: String): Boolean = PLAIN.matches(text) && text.lowercase() !in RESERVED

    private fun quoted(text: String): String = buildString {
        append('"')
        text.codePoints().forEach { append(escaped(it)) }
        append('"')
    }

    private fun escaped(codePoint: Int): String = when (codePoint) {
        '"'.code, '\\'.code -> "\\${codePoint.toChar()}"
        in PRINTABLE -> codePoint.toChar().toString()
        else -> "\\U%08x".format(codePoint)
    }

    private val PLAIN = Regex("[A-Za-z0-9][A-Za-z0-9._+/=-]*(?::[0-9]+)?|[0-9a-z. ]+[a-z]")
    private val RESERVED = setOf("null", "yes", "no", "on", "off", "y", "n")
    private val PRINTABLE = ' '.code..'~'.code
    private const val INDENT = "  "
}
