package org.cicadaarch.model.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What speaks behind a service name.
 */
@Serializable
enum class ServiceKind {
    /** Model engines that speak the OpenAI chat completions format. */
    @SerialName("model")
    MODEL,

    /** A plain HTTP service whose calls are passed through by path. */
    @SerialName("plain")
    PLAIN,
}
