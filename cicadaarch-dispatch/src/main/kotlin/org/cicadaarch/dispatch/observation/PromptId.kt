package org.cicadaarch.dispatch.observation

import net.openhft.hashing.LongHashFunction
import org.cicadaarch.model.ServiceName

/**
 * Identifies a prompt of a service in what routers tell each other, by a short hash. Two prompts with the same one
 * count as one, which spreads them a little wider than needed.
 */
@JvmInline
value class PromptId(private val hash: Int) {
    override fun toString(): String = hash.toString(RADIX)

    companion object {
        private const val RADIX = 36
        private val HASH: LongHashFunction = LongHashFunction.xx3()

        /** The id of the prompt with [promptKey] at the targets of [service]. */
        fun of(service: ServiceName, promptKey: String) = PromptId(HASH.hashChars("$service/$promptKey").toInt())

        /** The id that [text] states, or null if it states none. */
        fun parse(text: String): PromptId? = text.toIntOrNull(RADIX)?.let { PromptId(it) }
    }
}
