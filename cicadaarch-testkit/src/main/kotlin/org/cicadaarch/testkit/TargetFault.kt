package org.cicadaarch.testkit

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The present fault of a target. [text] is what crashes it and [factor] multiplies the times of a slow target.
 */
@Serializable
data class TargetFault(val mode: Mode, val text: String = "", val factor: Double = 1.0) {
    @Serializable
    enum class Mode {
        /** Requests run as usual. */
        @SerialName("normal")
        NORMAL,

        /** Connections open at the time of the fault stay open and carry no more answers; new ones work. */
        @SerialName("silent")
        SILENT,

        /** A request whose body contains the text crashes the target for a second. */
        @SerialName("crash-on")
        CRASH_ON,

        /** Requests take longer. */
        @SerialName("slow")
        SLOW,
    }
}
