package org.cicadaarch.logging

import io.github.oshai.kotlinlogging.KotlinLogging

/**
 * Writes one line of key=value pairs for each event. Ordinary lines are bounded in number: what is left out is counted
 * and told with the next line. Warnings and errors are always written.
 */
object LogEvents {
    private const val STACK_FRAMES = 4
    private const val ORDINARY_LINES_PER_SECOND = 250
    private val logger = KotlinLogging.logger("cicadaarch")
    private val budget = LineBudget(ORDINARY_LINES_PER_SECOND)

    /** Logs [event] for a closer look, off unless the level is lowered. */
    fun debug(event: String, fields: LogFields.() -> Unit = {}) {
        logger.debug { line(event, fields) }
    }

    /** Logs [event] with the [fields] as ordinary information. */
    fun info(event: String, fields: LogFields.() -> Unit = {}) {
        if (!budget.allows()) return
        val leftOut = budget.takeLeftOut()
        if (leftOut > 0) logger.warn { line("lines-left-out") { "count" to leftOut } }
        logger.info { line(event, fields) }
    }

    /** Logs [event] as something that an operator may have to look at. */
    fun warn(event: String, fields: LogFields.() -> Unit = {}) {
        logger.warn { line(event, fields) }
    }

    /** Logs [event] as a fault of this program, with [cause]. */
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
