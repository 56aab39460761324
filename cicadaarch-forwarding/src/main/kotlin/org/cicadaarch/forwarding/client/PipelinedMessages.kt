package org.cicadaarch.forwarding.client

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.util.ReferenceCountUtil
import org.cicadaarch.store.MemoryBudget

/**
 * What a client has sent before the response to its current request, within [memory] and up to [MAX_MESSAGES] parts.
 */
internal class PipelinedMessages(private val memory: MemoryBudget) {
    private val messages = ArrayDeque<HttpObject>()
    private var heldBytes = 0

    /** Whether nothing waits. */
    val isEmpty: Boolean get() = messages.isEmpty()

    /** Adds [message], or returns false and releases it if that is too much. */
    fun add(message: HttpObject): Boolean {
        val after = heldBytes + sizeOf(message)
        if (messages.size >= MAX_MESSAGES || !memory.resize(heldBytes, after)) {
            ReferenceCountUtil.release(message)
            return false
        }
        heldBytes = after
        messages.addLast(message)
        return true
    }

    /** Takes out the oldest message. */
    fun removeFirst(): HttpObject = messages.removeFirst().also { resize(heldBytes - sizeOf(it)) }

    /** Releases all messages. */
    fun clear() {
        messages.forEach { ReferenceCountUtil.release(it) }
        messages.clear()
        resize(0)
    }

    private fun resize(after: Int) {
        memory.resize(heldBytes, after)
        heldBytes = after
    }

    private fun sizeOf(message: HttpObject): Int =
        OVERHEAD_BYTES + ((message as? HttpContent)?.content()?.readableBytes() ?: 0)

    private companion object {
        const val MAX_MESSAGES = 64

        /** For a part of any size, as it keeps a part of the buffer that it was received in. */
        const val OVERHEAD_BYTES = 1_024
    }
}
