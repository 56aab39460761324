package org.cicadaarch.configuration

import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlNull
import com.charleskorn.kaml.YamlScalar
import kotlin.time.Duration

/**
 * Reads the YAML mapping [node] at [path] key by key and reports every error to [errors].
 *
 * An invalid value is read as absent or empty, so that one pass finds all errors. Call [reportUnknownKeys] last.
 */
internal class SectionReader(node: YamlNode?, private val path: String, private val errors: ErrorCollector) {
    private val entries: Map<String, YamlNode> = entriesOf(node)
    private val readKeys = mutableSetOf<String>()

    /** The mapping at [key]. If absent, it reads as empty, which is an error if [required]. */
    fun section(key: String, required: Boolean = false): SectionReader {
        val node = consume(key)
        if (node == null && required) reportMissing(key, MAPPING)
        return SectionReader(node ?: EMPTY, pathOf(key), errors)
    }

    /** Reads each entry of this mapping as a mapping, and validates its key as a name. */
    fun <T> sections(read: (String, SectionReader) -> T): Map<String, T> =
        entries.keys.associateWith { key -> read(key, section(key)).also { validateName(key) } }

    /** Reads each entry of this mapping by its key, and validates the key as a name. */
    fun <T> entries(read: (String) -> T): Map<String, T> =
        entries.keys.associateWith { key -> read(key).also { validateName(key) } }

    /** The mappings in the list at [key], or an empty list if absent. */
    fun <T> sectionList(key: String, read: (SectionReader) -> T): List<T> =
        items(key).mapIndexed { index, item -> read(SectionReader(item, "${pathOf(key)}.$index", errors)) }

    /** The strings in the list at [key], or an empty list if absent. */
    fun strings(key: String): List<String> = items(key).mapIndexedNotNull { index, item ->
        val itemPath = "${pathOf(key)}.$index"
        errors.recordLine(itemPath, item.location.line)
        scalar(item, itemPath, "a string")
    }

    /** The values that the list at [key] selects from [choices] by name. */
    fun <T : Any> choices(key: String, choices: Map<String, T>): List<T> =
        strings(key).mapIndexedNotNull { index, name ->
            choices[name].also { if (it == null) errors.add("${pathOf(key)}.$index", name, allowedOf(choices)) }
        }

    fun hasKey(key: String): Boolean = key in entries

    fun string(key: String): String? = required(key, "a string") { it }

    fun int(key: String): Int? = required(key, WHOLE_NUMBER) { it.toIntOrNull() }

    fun optionalInt(key: String): Int? = optional(key, WHOLE_NUMBER) { it.toIntOrNull() }

    fun optionalDouble(key: String): Double? =
        optional(key, "a number") { text -> text.toDoubleOrNull()?.takeIf { it.isFinite() } }

    fun optionalBoolean(key: String): Boolean? = optional(key, "true or false") { it.toBooleanStrictOrNull() }

    fun optionalDuration(key: String): Duration? =
        optional(key, "a duration such as 10s, 1m 30s or 250ms") { Duration.parseOrNull(it) }

    /** The value that [key] selects from [choices] by name, or null if it is absent or not one of them. */
    fun <T> optionalChoice(key: String, choices: Map<String, T>): T? = optional(key, allowedOf(choices)) { choices[it] }

    fun <T> choice(key: String, choices: Map<String, T>): T? = required(key, allowedOf(choices)) { choices[it] }

    /** Reports each key of this mapping that has not been read. */
    fun reportUnknownKeys() {
        val unknown = entries.keys - readKeys
        unknown.forEach { errors.add(pathOf(it), it, "only the known keys: ${readKeys.sorted().joinToString()}") }
    }

    private fun <T> required(key: String, allowed: String, convert: (String) -> T?): T? {
        if (key !in entries) reportMissing(key, allowed)
        return optional(key, allowed, convert)
    }

    private fun <T> optional(key: String, allowed: String, convert: (String) -> T?): T? {
        val text = consume(key)?.let { scalar(it, pathOf(key), allowed) } ?: return null
        return convert(text).also { if (it == null) errors.add(pathOf(key), text, allowed) }
    }

    private fun scalar(node: YamlNode, nodePath: String, allowed: String): String? {
        if (node is YamlScalar) return node.content
        errors.add(nodePath, display(node), allowed)
        return null
    }

    private fun items(key: String): List<YamlNode> {
        val node = consume(key) ?: return emptyList()
        if (node is YamlList) return node.items
        errors.add(pathOf(key), display(node), "a list")
        return emptyList()
    }

    private fun entriesOf(node: YamlNode?): Map<String, YamlNode> {
        if (node == null) return emptyMap()
        errors.recordLine(path, node.location.line)
        if (node is YamlMap) return node.entries.entries.associate { (key, value) -> recordEntry(key, value) }
        if (node !is YamlNull) errors.add(path, display(node), MAPPING)
        return emptyMap()
    }

    private fun recordEntry(key: YamlScalar, value: YamlNode): Pair<String, YamlNode> {
        errors.recordLine(pathOf(key.content), key.location.line)
        return key.content to value
    }

    private fun display(node: YamlNode) = if (node is YamlScalar) node.content else node.contentToString()

    private fun consume(key: String): YamlNode? {
        readKeys += key
        return entries[key]
    }

    private fun allowedOf(choices: Map<String, *>) = "one of ${choices.keys.joinToString()}"

    private fun reportMissing(key: String, allowed: String) = errors.add(pathOf(key), null, allowed)

    private fun validateName(name: String) {
        if (!NAME.matches(name)) errors.add(pathOf(name), name, "a name of $NAME_RULE")
    }

    private fun pathOf(key: String) = if (path.isEmpty()) key else "$path.$key"

    private companion object {
        val EMPTY: YamlNode? = null
        val NAME = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
        const val NAME_RULE = "at most 63 letters, digits, dots, underscores and hyphens, the first a letter or digit"
        const val MAPPING = "a mapping"
        const val WHOLE_NUMBER = "a whole number"
    }
}
