package org.cicadaarch.forwarding.exchange

/**
 * Limits the memory that parts of responses take up before they can be passed on, over all attempts of a router, to
 * [limitBytes].
 *
 * Uses dynamic thresholds (Choudhury and Hahne, 1998): one response may take up [MAX_SHARE] of what the others leave
 * free. So a few responses without end leave memory for all others.
 */
internal class ResponseMemory(private val limitBytes: Long) {
    private var usedBytes = 0L

    /**
     * Changes the memory of one response from [before] to [after] bytes. Returns false and changes nothing if [after]
     * is more than before and over the response's threshold.
     */
    fun resize(before: Int, after: Int): Boolean {
        val usedByOthers = usedBytes - before
        if (after > before && after > (limitBytes - usedByOthers) * MAX_SHARE) return false
        usedBytes = usedByOthers + after
        return true
    }

    companion object {
        private const val MAX_SHARE = 0.25
        private const val HEAP_DIVISOR = 8

        /** The memory for responses in this process, an eighth of its heap. */
        fun ofHeap(): ResponseMemory = ResponseMemory(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR)
    }
}
