package org.cicadaarch.testkit

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The present fault of the store. [delayMilliseconds] is the time that a slow store takes for an answer.
 */
@Serializable
data class StoreFault(val mode: Mode, val delayMilliseconds: Long = 0) {
    @Serializable
    enum class Mode {
        /** Every call is answered. */
        @SerialName("up")
        UP,

        /** Connections are dropped and refused. */
        @SerialName("down")
        DOWN,

        /** A call takes effect after half the delay and is answered after the whole. */
        @SerialName("slow")
        SLOW,

        /** Calls take effect and their connections are closed without an answer. */
        @SerialName("lose-answers")
        LOSE_ANSWERS,
    }
}
