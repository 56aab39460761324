package org.cicadaarch.control.command

import arrow.core.Either
import arrow.core.raise.either
import kotlinx.cli.ArgType
import org.cicadaarch.control.Connections
import org.cicadaarch.control.ControlError
import org.cicadaarch.control.DocumentEditor
import org.cicadaarch.control.Report
import org.cicadaarch.control.StoredDocument

/** Replaces the store's document unless another operator has changed it since. */
internal class ApplyCommand(environment: Map<String, String>) :
    ControlCommand("apply", "Replace the store's document and wait until it is in force", environment) {
    private val file by argument(ArgType.String, "file", description = "The document in YAML")
    private val expectedRevision by option(
        ArgType.Int,
        "expect-revision",
        description = "The revision that the document is based on, 0 for none; by default the one named in the file",
    )

    override fun run(connections: Connections): Either<ControlError, Report> = either {
        val document = documentOf(file).bind()
        val editor = editor(connections).bind()
        val change = editor.replace(document, expected(editor).bind()).bind()
        ChangeReport(operators(), rolloutWatcher()).of(change)
    }

    // Without a revision, applying the file could revert another operator's edit, unless the store has no document.
    private fun expected(editor: DocumentEditor): Either<ControlError, Long> = either {
        val named = expectedRevision?.toLong() ?: StoredDocument.revisionIn(textOf(file).bind())
        val stored = editor.current().bind()
        when {
            named != null -> named

            stored == null -> 0

            else -> raise(
                ControlError.Usage(
                    "$file does not name the revision that it is based on: give --expect-revision; " +
                        "the store is at ${stored.revision}, see cicadactl diff",
                ),
            )
        }
    }
}
