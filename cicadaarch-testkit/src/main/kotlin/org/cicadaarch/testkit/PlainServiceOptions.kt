package org.cicadaarch.testkit

import kotlin.time.Duration

/**
 * How a plain service behaves. It answers after [answerDelay]; when it [deduplicates], a repeated idempotency key gets
 * the first answer.
 */
data class PlainServiceOptions(
    val service: String = "plain",
    val answerDelay: Duration = Duration.ZERO,
    val deduplicates: Boolean = false,
)
