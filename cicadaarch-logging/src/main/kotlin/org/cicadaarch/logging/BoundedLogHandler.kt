package org.cicadaarch.logging

import java.io.FileDescriptor
import java.io.FileOutputStream
import java.io.OutputStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.logging.Handler
import java.util.logging.Level
import java.util.logging.LogRecord
import kotlin.concurrent.thread

/**
 * Writes log records to [output], each in a line `time=… level=… message`. Drops lines instead of blocking the caller
 * when the reader of the output falls behind.
 */
internal class BoundedLogHandler(private val output: OutputStream = FileOutputStream(FileDescriptor.out)) : Handler() {
    private val lines = ArrayBlockingQueue<String>(QUEUE_SIZE)
    private val time = LogTime()

    /** Starts to write. */
    fun start() {
        thread(name = "log", isDaemon = true, block = ::writeAll)
    }

    override fun publish(record: LogRecord) {
        if (!isLoggable(record)) return
        val text = synchronized(time) { time.format(record.millis) }
        lines.offer("time=$text level=${levelName(record.level)} ${record.message}${cause(record)}\n")
    }

    /** The cause of a line that a library logs; those of this program state theirs themselves. */
    private fun cause(record: LogRecord): String {
        val thrown = record.thrown ?: return ""
        return LogFields().apply { "cause" to thrown.toString() }.toString().prependIndent(" ")
    }

    override fun flush() = Unit

    override fun close() = Unit

    private fun writeAll() {
        val batch = ArrayList<String>()
        while (true) {
            batch += lines.take()
            lines.drainTo(batch)
            output.write(batch.joinToString(separator = "").toByteArray())
            batch.clear()
        }
    }

    private fun levelName(level: Level): String = when {
        level.intValue() >= Level.SEVERE.intValue() -> "ERROR"
        level.intValue() >= Level.WARNING.intValue() -> "WARN"
        level.intValue() >= Level.INFO.intValue() -> "INFO"
        else -> "DEBUG"
    }

    private companion object {
        const val QUEUE_SIZE = 1_024
    }
}
