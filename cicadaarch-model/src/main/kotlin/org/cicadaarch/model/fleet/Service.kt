package org.cicadaarch.model.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.Serializable

/**
 * A service that callers address by name.
 *
 * [timeAllowed] is the time to the first byte of the answer when the caller names none; [loadMultiple] bounds the load
 * of one target as a multiple of the service's mean.
 */
@Serializable
data class Service(
    val kind: ServiceKind,
    val timeAllowed: Duration = DEFAULT_TIME_ALLOWED,
    val loadMultiple: Double = DEFAULT_LOAD_MULTIPLE,
) {
    private companion object {
        val DEFAULT_TIME_ALLOWED = 10.seconds
        const val DEFAULT_LOAD_MULTIPLE = 1.25
    }
}
