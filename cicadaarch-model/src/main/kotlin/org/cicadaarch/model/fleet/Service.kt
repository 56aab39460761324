package org.cicadaarch.model.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.Serializable

/**
 * A service that clients address by name.
 *
 * [timeAllowed] is the time until the first byte of the response is due if the client does not specify one.
 * [loadMultiple] limits the load of a target, as a multiple of the mean load of the service's targets.
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
