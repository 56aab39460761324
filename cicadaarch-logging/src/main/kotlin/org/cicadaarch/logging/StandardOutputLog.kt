package org.cicadaarch.logging

import java.util.logging.Level
import java.util.logging.Logger

/**
 * Logging to standard output that costs a starting process little: it uses the logging of the Java platform, and no
 * configuration file.
 */
object StandardOutputLog {
    private const val USE_PLATFORM_LOGGING = "kotlin-logging-to-jul"

    /** Sends all log lines to standard output. Must be called before anything is logged. */
    fun install() {
        System.setProperty(USE_PLATFORM_LOGGING, "true")
        val root = Logger.getLogger("")
        root.handlers.forEach { root.removeHandler(it) }
        root.addHandler(BoundedLogHandler().also { it.start() })
        root.level = Level.WARNING
        LogEvents.enableInfo()
    }
}
