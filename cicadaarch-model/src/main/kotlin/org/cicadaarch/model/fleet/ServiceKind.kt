package org.cicadaarch.model.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The protocol that the targets of a service speak.
 */
@Serializable
enum class ServiceKind {
    /** Model engines that speak the OpenAI chat completions format. */
    @SerialName("model")
    MODEL,

    /** A plain HTTP service, to which calls are forwarded under their path. */
    @SerialName("plain")
    PLAIN,
}
