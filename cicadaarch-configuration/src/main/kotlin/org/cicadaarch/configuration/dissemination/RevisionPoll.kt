package org.cicadaarch.configuration.dissemination

import org.cicadaarch.model.RouterId
import org.cicadaarch.model.Timestamp

/**
 * A poll of router revisions that ends when no router is [pending], or at [deadline].
 */
data class RevisionPoll(val pending: Set<RouterId>, val deadline: Timestamp)
