package org.cicadaarch.configuration

import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.test.fail
import org.cicadaarch.model.fleet.FleetDocument

/**
 * The documents in the repository's `examples` directory.
 */
internal object ExampleDocuments {
    val hireDeskText: String = text("hire-desk")
    val hireDesk: FleetDocument = parse(hireDeskText)
    val gridSetters: FleetDocument = parse(text("grid-setters"))

    fun parse(text: String): FleetDocument =
        FleetDocumentParser.parse(text).fold({ errors -> fail(errors.joinToString("\n")) }, { it })

    private fun text(name: String) = Path.of("..", "examples", "$name.yaml").readText()
}
