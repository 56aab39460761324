package org.cicadaarch.control.command

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.right
import kotlinx.cli.ArgType
import org.cicadaarch.control.Connections
import org.cicadaarch.control.ControlError
import org.cicadaarch.control.Report
import org.cicadaarch.model.PresetName

/** Switches the active preset. */
internal class PresetCommand(environment: Map<String, String>) :
    ControlCommand("preset", "Switch the active preset: preset switch NAME", environment) {
    @Suppress("unused")
    private val action by argument(ArgType.Choice(listOf("switch"), { it }), "action", description = "switch")
    private val preset by argument(ArgType.String, "name", description = "ordinary, peak or maintenance")

    override fun run(connections: Connections): Either<ControlError, Report> = either {
        val change = editor(connections).bind().edit { it.copy(activePreset = PresetName(preset)).right() }.bind()
        ChangeReport(operators(), rolloutWatcher()).of(change)
    }
}
