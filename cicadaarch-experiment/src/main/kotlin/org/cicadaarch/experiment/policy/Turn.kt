package org.cicadaarch.experiment.policy

/**
 * One request of a chat. [prefixTokens] of its [promptTokens] were seen or generated in earlier turns.
 */
internal class Turn(
    val id: Long,
    val account: Int,
    val chat: Int,
    val number: Int,
    val promptTokens: Int,
    val prefixTokens: Int,
    val outputTokens: Int,
    val arrivedAt: Long,
    val router: Int,
) {
    var attempt = 0
    var startedAt: Long? = null
    var firstTokenAt: Long? = null
    val tokens: Int get() = promptTokens + outputTokens
    val returning: Boolean get() = prefixTokens > 0
}
