package org.cicadaarch.configuration

import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlNull
import com.charleskorn.kaml.YamlScalar
import kotlin.time.Duration

/**
 * Reads the mapping [node] at [path], key by key, and reports every fault to [faults].
 *
 * A faulty value is replaced by a harmless one so that reading goes on; [finish] reports the keys that nobody read.
 */
internal class SectionReader(node: YamlNode?, private val path: String, private val faults: ErrorCollector) {
    private val entries: Map<String, YamlNode> = entriesOf(node)
    private val readKeys = mutableSetOf<String>()

    /** The section at [key]; an absent one is empty, and an error when it is [required]. */
    fun section(key: String, required: Boolean = false): SectionReader {
        val node = take(key)
        if (node == null && required) missing(key, MAPPING)
        return SectionReader(node ?: EMPTY, pathOf(key), faults)
    }

    /** Each entry of this section, read by [read] as a section of its own. */
    fun <T> sections(read: (String, SectionReader) -> T): Map<String, T> =
        entries.keys.associateWith { key -> read(key, section(key)).also { checkName(key) } }

    /** Each entry of this section, read by [read]. */
    fun <T> entries(read: (String) -> T): Map<String, T> =
        entries.keys.associateWith { key -> read(key).also { checkName(key) } }

    /** The sections of the list at [key], none when it is absent. */
    fun <T> sectionList(key: String, read: (SectionReader) -> T): List<T> =
        items(key).mapIndexed { index, item -> read(SectionReader(item, "${pathOf(key)}.$index", faults)) }

    /** The texts of the list at [key], none when it is absent. */
    fun texts(key: String): List<String> = items(key).mapIndexedNotNull { index, item ->
        val itemPath = "${pathOf(key)}.$index"
        faults.locate(itemPath, item.location.line)
        scalar(item, itemPath, "a text")
    }

    /** The values of [choices] that the list at [key] names. */
    fun <T : Any> choices(key: String, choices: Map<String, T>): List<T> = texts(key).mapIndexedNotNull { index, text ->
        choices[text].also { if (it == null) faults.add("${pathOf(key)}.$index", text, allowedOf(choices)) }
    }

    fun hasKey(key: String): Boolean = key in entries

    fun text(key: String): String? = required(key, "a text") { it }

    fun whole(key: String): Int? = required(key, WHOLE) { it.toIntOrNull() }

    fun optionalInt(key: String): Int? = optional(key, WHOLE) { it.toIntOrNull() }

    fun optionalDouble(key: String): Double? =
        optional(key, "a number") { text -> text.toDoubleOrNull()?.takeIf { it.isFinite() } }

    fun optionalBoolean(key: String): Boolean? = optional(key, "true or false") { it.toBooleanStrictOrNull() }

    fun optionalDuration(key: String): Duration? =
        optional(key, "a duration such as 10s, 1m 30s or 250ms") { Duration.parseOrNull(it) }

    /** The value of [choices] that [key] names, or null when it is absent or not among them. */
    fun <T> optionalChoice(key: String, choices: Map<String, T>): T? = optional(key, allowedOf(choices)) { choices[it] }

    fun <T> choice(key: String, choices: Map<String, T>): T? = required(key, allowedOf(choices)) { choices[it] }

    /** Reports the keys that were not read. */
    fun finish() {
        val unknown = entries.keys - readKeys
        unknown.forEach { faults.add(pathOf(it), it, "no such key; known keys: ${readKeys.sorted().joinToString()}") }
    }

    private fun <T> required(key: String, allowed: String, convert: (String) -> T?): T? {
        if (key !in entries) missing(key, allowed)
        return optional(key, allowed, convert)
    }

    private fun <T> optional(key: String, allowed: String, convert: (String) -> T?): T? {
        val text = take(key)?.let { scalar(it, pathOf(key), allowed) } ?: return null
        return convert(text).also { if (it == null) faults.add(pathOf(key), text, allowed) }
    }

    private fun scalar(node: YamlNode, at: String, allowed: String): String? {
        if (node is YamlScalar) return node.content
        faults.add(at, shown(node), allowed)
        return null
    }

    private fun items(key: String): List<YamlNode> {
        val node = take(key) ?: return emptyList()
        if (node is YamlList) return node.items
        faults.add(pathOf(key), shown(node), "a list")
        return emptyList()
    }

    private fun entriesOf(node: YamlNode?): Map<String, YamlNode> {
        if (node == null) return emptyMap()
        faults.locate(path, node.location.line)
        if (node is YamlMap) return node.entries.entries.associate { (key, value) -> locate(key, value) }
        if (node !is YamlNull) faults.add(path, shown(node), MAPPING)
        return emptyMap()
    }

    private fun locate(key: YamlScalar, value: YamlNode): Pair<String, YamlNode> {
        faults.locate(pathOf(key.content), key.location.line)
        return key.content to value
    }

    private fun shown(node: YamlNode) = if (node is YamlScalar) node.content else node.contentToString()

    private fun take(key: String): YamlNode? {
        readKeys += key
        return entries[key]
    }

    private fun allowedOf(choices: Map<String, *>) = "one of ${choices.keys.joinToString()}"

    private fun missing(key: String, allowed: String) = faults.add(pathOf(key), null, allowed)

    private fun checkName(name: String) {
        if (!NAME.matches(name)) faults.add(pathOf(name), name, "a name of $NAME_RULE")
    }

    private fun pathOf(key: String) = if (path.isEmpty()) key else "$path.$key"

    private companion object {
        val EMPTY: YamlNode? = null
        val NAME = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
        const val NAME_RULE = "at most 63 letters, digits, dots, underscores and hyphens, the first a letter or digit"
        const val MAPPING = "a mapping"
        const val WHOLE = "a whole number"
    }
}
