package org.cicadaarch.logging

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.logging.Level
import java.util.logging.Logger

/**
 * Logs each event as one line of key=value pairs. Lines at level INFO are rate limited; the next line that is written
 * after dropped ones is preceded by their number. Warnings and errors are not limited.
 */
object LogEvents {
    private const val LOGGER_NAME = "cicadaarch"
    private const val STACK_FRAMES = 4
    private const val INFO_LINES_PER_SECOND = 250
    private val logger = KotlinLogging.logger(LOGGER_NAME)
    private val rateLimiter = LogRateLimiter(INFO_LINES_PER_SECOND)

    /** Logging of the Java platform forgets the level of a logger that nobody refers to. */
    private var platformLogger: Logger? = null

    /** Writes lines at level INFO if logging goes to that of the Java platform, which omits them by default. */
    internal fun enableInfo() {
        platformLogger = Logger.getLogger(LOGGER_NAME).also { it.level = Level.INFO }
    }

    /** Logs [event] with [fields] at level DEBUG, which is off by default. */
    fun debug(event: String, fields: LogFields.() -> Unit = {}) {
        logger.debug { line(event, fields) }
    }

    /** Logs [event] with [fields] at level INFO, unless the rate limit is reached. */
    fun info(event: String, fields: LogFields.() -> Unit = {}) {
        if (!rateLimiter.tryAcquire()) return
        val dropped = rateLimiter.takeDroppedCount()
        if (dropped > 0) logger.warn { line("lines-left-out") { "count" to dropped } }
        logger.info { line(event, fields) }
    }

    /** Logs [event] with [fields] at level WARN, for conditions that an operator may have to act on. */
    fun warn(event: String, fields: LogFields.() -> Unit = {}) {
        logger.warn { line(event, fields) }
    }

    /** Logs [event] with [fields] and [cause] at level ERROR, for faults of this program. */
    fun error(event: String, cause: Throwable, fields: LogFields.() -> Unit = {}) {
        logger.error {
            line(event) {
                fields()
                "cause" to cause.toString()
                "at" to cause.stackTrace.take(STACK_FRAMES).joinToString(separator = "|")
            }
        }
    }

    private fun line(event: String, fields: LogFields.() -> Unit): String =
        LogFields().apply { "event" to event }.apply(fields).toString()
}
