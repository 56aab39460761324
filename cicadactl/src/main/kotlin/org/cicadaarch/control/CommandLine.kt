@file:OptIn(ExperimentalCli::class)

package org.cicadaarch.control

import java.io.PrintStream
import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import org.cicadaarch.control.command.ApplyCommand
import org.cicadaarch.control.command.DiffCommand
import org.cicadaarch.control.command.DrainCommand
import org.cicadaarch.control.command.ExplainCommand
import org.cicadaarch.control.command.HashCredentialCommand
import org.cicadaarch.control.command.PresetCommand
import org.cicadaarch.control.command.ShowCommand
import org.cicadaarch.control.command.StatusCommand
import org.cicadaarch.control.command.TraceCommand
import org.cicadaarch.control.command.ValidateCommand

/**
 * Runs one command of cicadactl. Options that are not given are taken from [environment].
 *
 * Reports are printed to [output], errors in text form to [errorOutput]. [readLine] reads a line of standard input.
 */
class CommandLine(
    private val environment: Map<String, String>,
    private val output: PrintStream,
    private val errorOutput: PrintStream,
    private val readLine: () -> String?,
) {
    /** Runs the command in [arguments] and returns its exit code. Ends the process if they cannot be parsed. */
    fun run(arguments: List<String>): ExitCode {
        val commands = listOf(
            ValidateCommand(environment),
            DiffCommand(environment),
            ApplyCommand(environment),
            ShowCommand(environment),
            PresetCommand(environment),
            StatusCommand(environment),
            ExplainCommand(environment),
            DrainCommand(environment),
            HashCredentialCommand(environment, readLine),
            TraceCommand(environment),
        )
        val parser = ArgParser("cicadactl")
        parser.subcommands(*commands.toTypedArray())
        parser.parse((arguments.ifEmpty { listOf("--help") }).toTypedArray())
        val command = commands.firstOrNull { it.report != null } ?: return ExitCode.USAGE
        return checkNotNull(command.report).also { print(it, isJson = command.output == "json") }.exitCode
    }

    private fun print(report: Report, isJson: Boolean) {
        val isError = report.exitCode !in setOf(ExitCode.DONE, ExitCode.NOT_IN_FORCE)
        when {
            isJson -> output.println(report.json)
            isError -> errorOutput.println(report.text)
            else -> output.println(report.text)
        }
    }
}
