package org.cicadaarch.forwarding.format

/**
 * A part of a prompt, of [tokens] tokens; equal parts have equal ids.
 */
data class PromptPart(val id: String, val tokens: Int)
