package org.cicadaarch.configuration.dissemination

import org.cicadaarch.model.RouterId
import org.cicadaarch.model.Timestamp

/**
 * Routers in several zones were asked for their revisions; the answers of [unanswered] are awaited until [until].
 */
data class RevisionPoll(val unanswered: Set<RouterId>, val until: Timestamp)
