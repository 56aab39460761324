package org.cicadaarch.membership

import org.cicadaarch.model.Timestamp

/**
 * The suspicion of a member, which is removed unless it refutes before [deadline].
 *
 * [finalProbeQueued] is true once the member has been queued for the last probe before its removal.
 */
internal data class Suspicion(val deadline: Timestamp, val finalProbeQueued: Boolean = false)
