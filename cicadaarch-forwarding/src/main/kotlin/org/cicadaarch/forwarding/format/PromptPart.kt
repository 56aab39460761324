package org.cicadaarch.forwarding.format

/**
 * A section of a prompt, [tokens] long. Equal sections have equal ids.
 */
data class PromptPart(val id: String, val tokens: Int)
