@file:OptIn(ExperimentalCli::class)

package org.cicadaarch.control.command

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.Duration.Companion.seconds
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import org.cicadaarch.configuration.FleetDocumentParser
import org.cicadaarch.control.Connections
import org.cicadaarch.control.ControlError
import org.cicadaarch.control.DocumentEditor
import org.cicadaarch.control.ErrorReport
import org.cicadaarch.control.OperatorsClient
import org.cicadaarch.control.Report
import org.cicadaarch.control.RolloutWatcher
import org.cicadaarch.model.fleet.FleetDocument

/**
 * A subcommand with the options that all of them share. Options that are not given are taken from [environment].
 */
internal abstract class ControlCommand(
    name: String,
    description: String,
    private val environment: Map<String, String>,
) : Subcommand(name, description) {
    private val store by option(ArgType.String, "store", description = "host:port of the store [CICADAARCH_STORE]")
    private val operators by option(
        ArgType.String,
        "operators",
        description = "host:port of routers' operators' endpoints, with commas [CICADAARCH_OPERATORS]",
    )
    private val author by option(ArgType.String, "author", description = "Name kept with a change [CICADAARCH_AUTHOR]")
    private val wait by option(ArgType.Int, "wait", description = "Seconds to wait for routers to run a change")
        .default(DEFAULT_WAIT.inWholeSeconds.toInt())

    /** The format in which the report is printed. */
    val output by option(ArgType.Choice(OUTPUTS, { it }), "output", description = "Form of the report").default(TEXT)

    /** The report, or null before the command has run. */
    var report: Report? = null
        private set

    override fun execute() {
        val result = try {
            Connections().use(::run)
        } catch (failure: Exception) {
            ControlError.Failed(failure.toString()).left()
        }
        report = result.fold(ErrorReport::of) { it }
    }

    protected abstract fun run(connections: Connections): Either<ControlError, Report>

    protected fun editor(connections: Connections): Either<ControlError, DocumentEditor> =
        connections.store(store ?: environment["CICADAARCH_STORE"]).map { DocumentEditor(it, authorName()) }

    protected fun operators(): OperatorsClient {
        val named = operators ?: environment["CICADAARCH_OPERATORS"].orEmpty()
        return OperatorsClient(named.split(',').map { it.trim() }.filter { it.isNotEmpty() })
    }

    protected fun rolloutWatcher(): RolloutWatcher = RolloutWatcher(operators(), wait.seconds)

    protected fun textOf(file: String): Either<ControlError, String> {
        val path = Path.of(file)
        return if (Files.isReadable(path) && Files.isRegularFile(path)) {
            Files.readString(path).right()
        } else {
            ControlError.Usage("$file cannot be read").left()
        }
    }

    protected fun documentOf(file: String): Either<ControlError, FleetDocument> = textOf(file).flatMap { text ->
        FleetDocumentParser.parse(text).mapLeft { ControlError.InvalidDocument(file, it) }
    }

    private fun authorName(): String =
        author ?: environment["CICADAARCH_AUTHOR"] ?: environment["USER"] ?: System.getProperty("user.name")

    private companion object {
        const val TEXT = "text"
        val OUTPUTS = listOf(TEXT, "json")
        val DEFAULT_WAIT = 15.seconds
    }
}
