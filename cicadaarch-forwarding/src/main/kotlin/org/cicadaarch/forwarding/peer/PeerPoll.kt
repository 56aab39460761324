package org.cicadaarch.forwarding.peer

import kotlin.time.Duration
import org.cicadaarch.dispatch.observation.ObservationReport
import org.cicadaarch.dispatch.observation.ObservationScope

/**
 * A poll of another router, which may hold it for up to [wait]: by a router that knows [revisions] of the store, by
 * prefix, asks for observations of [scope], if any, and sends its own [report], if any.
 */
internal data class PeerPoll(
    val wait: Duration,
    val revisions: Map<String, Long> = emptyMap(),
    val scope: ObservationScope? = null,
    val report: ObservationReport? = null,
)
