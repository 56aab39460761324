package org.cicadaarch.model

import kotlinx.serialization.Serializable

/**
 * Tells how often a request may run.
 */
@Serializable
sealed class Idempotency {
    /** The request may run any number of times. */
    @Serializable
    data object Idempotent : Idempotency()

    /** The request may run at most once over all callers' resends that carry [key]. */
    @Serializable
    data class Keyed(val key: IdempotencyKey) : Idempotency()

    /** The request may run at most once and cannot be recognised when it is sent again. */
    @Serializable
    data object Keyless : Idempotency()
}
