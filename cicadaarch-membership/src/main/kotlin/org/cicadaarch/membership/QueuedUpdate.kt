package org.cicadaarch.membership

import org.cicadaarch.model.Timestamp

/**
 * An update in dissemination, queued at [queuedAt] and sent [transmissions] times so far.
 */
internal data class QueuedUpdate(val update: MemberUpdate, val queuedAt: Timestamp, val transmissions: Int = 0)
