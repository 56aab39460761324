package org.cicadaarch.testkit.simulation

import org.cicadaarch.model.Outcome
import org.cicadaarch.model.RequestHead
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.Timestamp
import org.cicadaarch.request.RefusalReason

/**
 * A request of the simulation and what its caller saw. [endings] counts how often the caller was told an outcome.
 */
class SimulatedRequest(val head: RequestHead, val ingress: RouterId, val arrivedAt: Timestamp) {
    var outcome: Outcome? = null
        private set
    var reason: RefusalReason? = null
        private set
    var endedAt: Timestamp? = null
        private set
    var endings: Int = 0
        private set

    /** The caller is told [outcome] at [now]. */
    fun end(outcome: Outcome, reason: RefusalReason?, now: Timestamp) {
        endings++
        this.outcome = outcome
        this.reason = reason
        endedAt = now
    }
}
