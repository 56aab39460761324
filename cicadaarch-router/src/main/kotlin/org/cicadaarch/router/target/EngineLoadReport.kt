package org.cicadaarch.router.target

import kotlinx.serialization.Serializable

/**
 * An engine's answer to `/load`, which lags behind: requests that run, and that wait in the engine.
 */
@Serializable
internal data class EngineLoadReport(val running: Int = 0, val waiting: Int = 0)
