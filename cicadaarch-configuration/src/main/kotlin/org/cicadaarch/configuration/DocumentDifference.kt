package org.cicadaarch.configuration

import org.cicadaarch.model.fleet.FleetDocument

/**
 * A value that differs between two documents. [before] or [after] is null if that document has no value at [path].
 */
data class DocumentDifference(val path: String, val before: String?, val after: String?) {
    override fun toString(): String = "$path: ${before ?: ABSENT} -> ${after ?: ABSENT}"

    companion object {
        private const val ABSENT = "(absent)"

        /** The differences from [before] to [after], in document order; reordered map entries are not a difference. */
        fun between(before: FleetDocument, after: FleetDocument): List<DocumentDifference> {
            val oldValues = leafValues(before)
            val newValues = leafValues(after)
            return (oldValues.keys + newValues.keys)
                .filter { oldValues[it] != newValues[it] }
                .map { path -> DocumentDifference(path = path, before = oldValues[path], after = newValues[path]) }
        }

        private fun leafValues(document: FleetDocument): Map<String, String> =
            LinkedHashMap<String, String>().also { collect(DocumentTree.of(document), path = "", it) }

        private fun collect(node: DocumentNode, path: String, leaves: MutableMap<String, String>) {
            when (node) {
                is DocumentNode.Text -> leaves[path] = node.value

                is DocumentNode.Sequence -> leaves[path] =
                    node.items.joinToString(prefix = "[", postfix = "]") { inline(it) }

                is DocumentNode.Mapping -> node.entries.forEach { (key, child) ->
                    collect(child, if (path.isEmpty()) key else "$path.$key", leaves)
                }
            }
        }

        private fun inline(node: DocumentNode): String = when (node) {
            is DocumentNode.Text -> node.value

            is DocumentNode.Sequence -> node.items.joinToString(prefix = "[", postfix = "]") { inline(it) }

            is DocumentNode.Mapping -> node.entries.entries.joinToString(prefix = "{", postfix = "}") { (key, child) ->
                "$key: ${inline(child)}"
            }
        }
    }
}
