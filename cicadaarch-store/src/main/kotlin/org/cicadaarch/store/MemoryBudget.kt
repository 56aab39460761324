package org.cicadaarch.store

import java.io.File
import java.io.IOException
import org.cicadaarch.logging.LogEvents

/**
 * Limits the memory that received bytes take up over all connections to [limitBytes].
 *
 * Uses dynamic thresholds (Choudhury and Hahne, 1998): one holder may take up [maxShare] of what the others leave free.
 * So a few senders without end leave memory for all others. May be used by several threads.
 */
class MemoryBudget(private val limitBytes: Long, private val maxShare: Double = DEFAULT_MAX_SHARE) {
    /** Bytes that all holders take up now. */
    @get:Synchronized
    var usedBytes = 0L
        private set

    /**
     * Changes the memory of one holder from [before] to [after] bytes. Returns false and changes nothing if [after] is
     * more than before and over the holder's threshold.
     */
    @Synchronized
    fun resize(before: Int, after: Int): Boolean {
        val usedByOthers = usedBytes - before
        if (after > before && after > (limitBytes - usedByOthers) * maxShare) return false
        usedBytes = usedByOthers + after
        return true
    }

    companion object {
        private const val DEFAULT_MAX_SHARE = 0.25
        private const val BYTES_PER_KIBIBYTE = 1024L
        private val MEMORY_TOTAL = Regex("MemTotal: +([0-9]+) kB")

        /** What one process may use: its heap, at most half of the VM's memory, as it needs memory besides its heap. */
        private val processBytes: Long by lazy {
            val heap = Runtime.getRuntime().maxMemory()
            physicalBytes()?.let { minOf(heap, it / 2) } ?: heap
        }

        /** A budget of a [share] of what this process may use, from 0 to 1. */
        fun ofProcess(share: Double, maxShare: Double = DEFAULT_MAX_SHARE) =
            MemoryBudget(bytesOfProcess(share), maxShare)

        /** A [share] of what this process may use, from 0 to 1, in bytes. */
        fun bytesOfProcess(share: Double): Long = (processBytes * share).toLong()

        /** The memory of this VM, or null where the system does not say. */
        private fun physicalBytes(): Long? = try {
            val line = File("/proc/meminfo").useLines { lines -> lines.firstNotNullOfOrNull(MEMORY_TOTAL::find) }
            line?.let { it.groupValues[1].toLong() * BYTES_PER_KIBIBYTE }
        } catch (exception: IOException) {
            LogEvents.debug("memory-size-unknown") { "reason" to exception }
            null
        }
    }
}
