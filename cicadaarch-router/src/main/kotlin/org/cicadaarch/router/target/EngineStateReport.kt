package org.cicadaarch.router.target

import kotlinx.serialization.Serializable

/**
 * An engine's answer to `/state`: the last order that it followed, if any.
 */
@Serializable
internal data class EngineStateReport(val order: EngineOrder? = null)
