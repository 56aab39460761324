package org.cicadaarch.forwarding.peer

import kotlin.time.Duration
import org.cicadaarch.dispatch.observation.ObservationReport
import org.cicadaarch.dispatch.observation.ObservationScope
import org.cicadaarch.model.store.StoreVersion

/**
 * A poll of another router, which may hold it for up to [wait]: by a router that knows [versions] of the store, by
 * prefix, asks for observations of [scope], if any, and sends its own [report], if any.
 */
internal data class PeerPoll(
    val wait: Duration,
    val versions: Map<String, StoreVersion> = emptyMap(),
    val scope: ObservationScope? = null,
    val report: ObservationReport? = null,
)
