package org.cicadaarch.membership

/**
 * An update in dissemination that was sent [transmissions] times so far.
 */
internal data class QueuedUpdate(val update: MemberUpdate, val transmissions: Int = 0)
