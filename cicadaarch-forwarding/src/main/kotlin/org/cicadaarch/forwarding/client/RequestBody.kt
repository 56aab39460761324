package org.cicadaarch.forwarding.client

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import org.cicadaarch.store.MemoryBudget

/**
 * The body of one client request as far as it was received, within [memory]. Released when its exchange ends.
 */
internal class RequestBody(private val memory: MemoryBudget) {
    /** The bytes received. The buffer grows as they arrive: a client may state any length and send nothing. */
    val bytes: ByteBuf = Unpooled.buffer(INITIAL_BYTES)

    /** Adds a copy of [part]. Returns false and adds nothing if there is no memory for it. */
    fun add(part: ByteBuf): Boolean {
        val before = bytes.readableBytes()
        if (!memory.resize(before, before + part.readableBytes())) return false
        bytes.writeBytes(part)
        return true
    }

    /** Frees the memory. */
    fun release() {
        memory.resize(before = bytes.readableBytes(), after = 0)
        bytes.release()
    }

    private companion object {
        const val INITIAL_BYTES = 256
    }
}
