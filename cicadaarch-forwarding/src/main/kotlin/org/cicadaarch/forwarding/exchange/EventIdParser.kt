package org.cicadaarch.forwarding.exchange

import io.netty.buffer.ByteBuf

/**
 * Reads the id of a server-sent event.
 */
internal object EventIdParser {
    private const val FIELD = "id:"

    /** The value of the last `id` field of [event], or null if it has none. */
    fun parse(event: ByteBuf): String? = event.toString(Charsets.UTF_8)
        .lineSequence()
        .lastOrNull { it.startsWith(FIELD) }
        ?.removePrefix(FIELD)
        ?.trim()
}
