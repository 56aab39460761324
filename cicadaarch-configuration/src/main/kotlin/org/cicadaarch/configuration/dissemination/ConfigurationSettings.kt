package org.cicadaarch.configuration.dissemination

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings for the distribution of the configuration; all must be the same on all routers, except [seed].
 *
 * [watchersPerRegion] routers of each region watch the store. Revisions are announced along [trees] dissemination
 * trees, in which each router has at most [fanOut] children. A store call times out [responseGrace] after its expected
 * end; while calls fail, the grace doubles up to eightfold, because the store may be slow. [seed] and the router's id
 * seed the random source for jitter and peer selection. Requests for documents start at least [minFetchInterval] apart.
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
    val minFetchInterval: Duration = 100.milliseconds,
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
