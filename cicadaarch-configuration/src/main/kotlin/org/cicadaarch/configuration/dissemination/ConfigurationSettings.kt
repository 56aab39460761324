package org.cicadaarch.configuration.dissemination

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Sizes and times of the configuration's spread; the same on all routers.
 *
 * [watchersPerRegion] routers wait on the store; revisions pass along [trees] trees, each with at most [fanOut]
 * children a router. A store call is given up [responseGrace] after it should have ended, and up to eight times as long
 * after while calls fail, as the store may be slow. [seed] decides the jitter and the choice of peers, together with
 * the router's identity.
 */
data class ConfigurationSettings(
    val seed: Long = 0,
    val watchersPerRegion: Int = 3,
    val fanOut: Int = 3,
    val trees: Int = 2,
    val watchTimeout: Duration = 2.seconds,
    val responseGrace: Duration = 500.milliseconds,
    val minBackoff: Duration = 250.milliseconds,
    val maxBackoff: Duration = 2.seconds,
    val fetchTimeout: Duration = 500.milliseconds,
    val announcementPeriod: Duration = 500.milliseconds,
    val pollPeriod: Duration = 1.seconds,
    val pollTimeout: Duration = 300.milliseconds,
    val reportPeriod: Duration = 15.seconds,
    val pauseThreshold: Duration = 1.seconds,
) {
    init {
        require(watchersPerRegion > 0) { "watchersPerRegion must be above 0, was $watchersPerRegion" }
        require(fanOut > 0) { "fanOut must be above 0, was $fanOut" }
        require(trees > 0) { "trees must be above 0, was $trees" }
        require(minBackoff <= maxBackoff) { "minBackoff must not exceed maxBackoff" }
    }
}
