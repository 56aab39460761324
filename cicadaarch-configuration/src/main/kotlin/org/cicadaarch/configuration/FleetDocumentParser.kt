package org.cicadaarch.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlNode
import org.cicadaarch.model.fleet.FleetDocument

/**
 * Parses and validates a fleet document in YAML.
 */
object FleetDocumentParser {
    /** Returns the document in [text], or all of its errors, sorted by line. */
    fun parse(text: String): Either<List<DocumentError>, FleetDocument> = either {
        val root = parseNode(text).bind()
        val errors = ErrorCollector()
        val document = DocumentReader(errors).read(root)
        errors.addAll(FleetDocumentValidator.validate(document))
        if (errors.isEmpty()) document else raise(errors.sortedByLine())
    }

    private fun parseNode(text: String): Either<List<DocumentError>, YamlNode> = try {
        Yaml.default.parseToYamlNode(text).right()
    } catch (failure: YamlException) {
        listOf(syntaxError(failure)).left()
    }

    private fun syntaxError(failure: YamlException) = DocumentError(
        path = failure.path.toHumanReadableString().takeIf { it != ROOT_PATH }.orEmpty(),
        value = failure.message.lineSequence().first(),
        allowed = "well-formed YAML with unique keys",
        line = failure.line,
    )

    private const val ROOT_PATH = "<root>"
}
