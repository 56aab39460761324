package org.cicadaarch.configuration

import org.cicadaarch.model.fleet.FleetDocument

/**
 * One value that differs between two documents: [before] or [after] is null where the path does not exist.
 */
data class DocumentDifference(val path: String, val before: String?, val after: String?) {
    override fun toString(): String = "$path: ${before ?: ABSENT} -> ${after ?: ABSENT}"

    companion object {
        private const val ABSENT = "(absent)"

        /** The differences from [before] to [after], in the order of the paths; the order of names does not count. */
        fun between(before: FleetDocument, after: FleetDocument): List<DocumentDifference> {
            val old = leaves(before)
            val new = leaves(after)
            return (old.keys + new.keys)
                .filter { old[it] != new[it] }
                .map { path -> DocumentDifference(path = path, before = old[path], after = new[path]) }
        }

        private fun leaves(document: FleetDocument): Map<String, String> =
            LinkedHashMap<String, String>().also { collect(DocumentTree.of(document), path = "", it) }

        private fun collect(node: DocumentNode, path: String, leaves: MutableMap<String, String>) {
            when (node) {
                is DocumentNode.Text -> leaves[path] = node.value

                is DocumentNode.Sequence -> leaves[path] =
                    node.items.joinToString(prefix = "[", postfix = "]") { flat(it) }

                is DocumentNode.Mapping -> node.entries.forEach { (key, child) ->
                    collect(child, if (path.isEmpty()) key else "$path.$key", leaves)
                }
            }
        }

        private fun flat(node: DocumentNode): String = when (node) {
            is DocumentNode.Text -> node.value

            is DocumentNode.Sequence -> node.items.joinToString(prefix = "[", postfix = "]") { flat(it) }

            is DocumentNode.Mapping -> node.entries.entries.joinToString(prefix = "{", postfix = "}") { (key, child) ->
                "$key: ${flat(child)}"
            }
        }
    }
}
