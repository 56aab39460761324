package org.cicadaarch.forwarding.peer

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cicadaarch.dispatch.observation.AgedLoad

/**
 * The wire form of [AgedLoad].
 */
@Serializable
internal data class LoadMessage(@SerialName("n") val requests: Int, @SerialName("a") val ageMillis: Long) {
    /** Converts the message to the form that the dispatch module uses. */
    fun toLoad() = AgedLoad(requests.coerceIn(0, MAX_REQUESTS), ageMillis.coerceIn(0, MAX_AGE_MILLIS).milliseconds)

    companion object {
        private const val MAX_REQUESTS = 1_000_000
        private const val MAX_AGE_MILLIS = 60_000L

        /** The message for [load]. */
        fun of(load: AgedLoad) = LoadMessage(load.requests, load.age.inWholeMilliseconds)
    }
}
