package org.cicadaarch.forwarding.exchange

import io.netty.buffer.ByteBuf

/**
 * Finds the id of a server-sent event.
 */
internal object EventIdParser {
    private const val FIELD = "id:"

    /** The value of the id field of [event], or null when it has none. */
    fun parse(event: ByteBuf): String? = event.toString(Charsets.UTF_8)
        .lineSequence()
        .lastOrNull { it.startsWith(FIELD) }
        ?.removePrefix(FIELD)
        ?.trim()
}
