package org.cicadaarch.model

import kotlinx.serialization.Serializable

/**
 * Whether a request may run more than once.
 */
@Serializable
sealed class Idempotency {
    /** The request may run any number of times. */
    @Serializable
    data object Idempotent : Idempotency()

    /** All requests of the client account that carry [key] together may run at most once. */
    @Serializable
    data class Keyed(val key: IdempotencyKey) : Idempotency()

    /** The request may run at most once. A resend by the client cannot be recognized as the same request. */
    @Serializable
    data object Keyless : Idempotency()
}
