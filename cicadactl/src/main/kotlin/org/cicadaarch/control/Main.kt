package org.cicadaarch.control

import kotlin.system.exitProcess

/** Runs the operators' command line. Exits with a code of [ExitCode]. */
fun main(arguments: Array<String>) {
    val usageExit = Thread { Runtime.getRuntime().halt(ExitCode.USAGE.code) }
    // The option parser exits with a code of its own if it cannot parse the command line.
    if (!asksForHelp(arguments)) Runtime.getRuntime().addShutdownHook(usageExit)
    val commandLine = CommandLine(
        environment = System.getenv(),
        output = System.out,
        errorOutput = System.err,
        readLine = ::readlnOrNull,
    )
    val exitCode = commandLine.run(arguments.toList())
    Runtime.getRuntime().removeShutdownHook(usageExit)
    exitProcess(exitCode.code)
}

private fun asksForHelp(arguments: Array<String>): Boolean =
    arguments.isEmpty() || arguments.any { it == "--help" || it == "-h" }
