package org.cicadaarch.membership

import org.cicadaarch.model.Timestamp

/**
 * A member is suspected until [deadline]. When [probedAgain], this router has made its last probe of it.
 */
internal data class Suspicion(val deadline: Timestamp, val finalProbeQueued: Boolean = false)
