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
 * Reads a fleet document from YAML and checks it.
 */
object FleetDocumentParser {
    /** The document in [text], or all of its errors in the order of their lines. */
    fun parse(text: String): Either<List<DocumentError>, FleetDocument> = either {
        val root = node(text).bind()
        val faults = ErrorCollector()
        val document = DocumentReader(faults).read(root)
        faults.addAll(FleetDocumentValidator.validate(document))
        if (faults.isEmpty()) document else raise(faults.sorted())
    }

    private fun node(text: String): Either<List<DocumentError>, YamlNode> = try {
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
