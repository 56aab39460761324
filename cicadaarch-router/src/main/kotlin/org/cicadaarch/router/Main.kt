package org.cicadaarch.router

import kotlin.system.exitProcess
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.router.settings.SettingsReader

private const val EXIT_USAGE = 2
private const val EXIT_START_FAILED = 1

/** Starts a router with the settings of the command line and environment, and stops it gracefully on SIGTERM. */
fun main(arguments: Array<String>) {
    val settings = SettingsReader(System.getenv()).read(arguments).fold(
        ifLeft = { errors ->
            errors.forEach { System.err.println(it) }
            exitProcess(EXIT_USAGE)
        },
        ifRight = { it },
    )
    val process = try {
        RouterProcess(settings).also { it.start() }
    } catch (exception: Exception) {
        LogEvents.error("start-failed", exception)
        exitProcess(EXIT_START_FAILED)
    }
    Runtime.getRuntime().addShutdownHook(Thread(process::stop, "shutdown"))
    process.awaitStopped()
}
