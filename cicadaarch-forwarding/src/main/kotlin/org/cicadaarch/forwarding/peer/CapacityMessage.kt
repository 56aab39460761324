package org.cicadaarch.forwarding.peer

import kotlin.math.roundToLong
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cicadaarch.dispatch.capacity.TargetCapacity

/**
 * The wire form of [TargetCapacity], in hundredths.
 */
@Serializable
internal data class CapacityMessage(@SerialName("s") val share: Long, @SerialName("t") val relativeTime: Long) {
    /** Converts the message to the form that the dispatch module uses. */
    fun toCapacity(): TargetCapacity = TargetCapacity.ofStated(share / HUNDREDTHS, relativeTime / HUNDREDTHS)

    companion object {
        private const val HUNDREDTHS = 100.0

        /** The message for [capacity]. */
        fun of(capacity: TargetCapacity) = CapacityMessage(
            share = (capacity.share * HUNDREDTHS).roundToLong(),
            relativeTime = (capacity.relativeTime * HUNDREDTHS).roundToLong(),
        )
    }
}
