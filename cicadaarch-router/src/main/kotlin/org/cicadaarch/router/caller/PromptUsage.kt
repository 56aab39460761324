package org.cicadaarch.router.caller

import io.netty.buffer.ByteBuf
import java.nio.charset.StandardCharsets

/**
 * The prompt tokens that an engine counted for a request, and how many of them its cache held.
 */
data class PromptUsage(val promptTokens: Long, val cachedTokens: Long) {
    companion object {
        private val PROMPT = Regex("\"prompt_tokens\"\\s*:\\s*(\\d{1,12})")
        private val CACHED = Regex("\"cached_tokens\"\\s*:\\s*(\\d{1,12})")
        private const val LONGEST_EVENT = 65_536

        /** The usage in the JSON text of [content], or null when it has none. */
        fun find(content: ByteBuf): PromptUsage? {
            if (content.readableBytes() > LONGEST_EVENT) return null
            val text = content.toString(StandardCharsets.UTF_8)
            val prompt = PROMPT.find(text)?.groupValues?.get(1)?.toLong() ?: return null
            val cached = CACHED.find(text)?.groupValues?.get(1)?.toLong() ?: 0L
            return PromptUsage(promptTokens = prompt, cachedTokens = cached)
        }
    }
}
