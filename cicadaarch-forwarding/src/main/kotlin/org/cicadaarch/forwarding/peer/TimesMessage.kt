package org.cicadaarch.forwarding.peer

import kotlin.math.roundToLong
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cicadaarch.dispatch.capacity.RelativeTimes

/**
 * The wire form of [RelativeTimes], in hundredths, as of the time of the message.
 */
@Serializable
internal data class TimesMessage(@SerialName("n") val samples: Long = 0, @SerialName("t") val total: Long = 0) {
    /** Converts the message to the form that the dispatch module uses. */
    fun toTimes(maxSamples: Double): RelativeTimes =
        RelativeTimes.ofStated(samples / HUNDREDTHS, total / HUNDREDTHS, maxSamples)

    companion object {
        private const val HUNDREDTHS = 100.0

        /** The message for [times]. */
        fun of(times: RelativeTimes) =
            TimesMessage((times.samples * HUNDREDTHS).roundToLong(), (times.total * HUNDREDTHS).roundToLong())
    }
}
