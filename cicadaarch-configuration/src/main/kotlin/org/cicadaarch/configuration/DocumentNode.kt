package org.cicadaarch.configuration

/**
 * A node of the canonical tree of a fleet document; see [DocumentTree].
 */
internal sealed class DocumentNode {
    data class Text(val value: String) : DocumentNode()

    data class Sequence(val items: List<DocumentNode>) : DocumentNode()

    data class Mapping(val entries: Map<String, DocumentNode>) : DocumentNode()
}
