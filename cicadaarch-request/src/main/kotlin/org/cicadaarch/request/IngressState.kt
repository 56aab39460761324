package org.cicadaarch.request

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.fleet.FleetDocument

/**
 * The state of the ingress of one router.
 *
 * [retryBudget] is the number of retries that may be made now. [inFlightWithoutPermit] counts, for each target, the
 * attempts in flight without a permit. [unreachableSince] is when each unreachable router last failed to reply or
 * lost its connection.
 */
data class IngressState(
    val view: RouterView,
    val fleet: FleetDocument? = null,
    val requests: PersistentMap<RequestId, IngressRequest> = persistentMapOf(),
    val inFlightWithoutPermit: PersistentMap<TargetId, Int> = persistentMapOf(),
    val retryBudget: Double = INITIAL_RETRY_BUDGET,
    val crashHistory: CrashHistory = CrashHistory(),
    val unreachableSince: Map<RouterId, Timestamp> = emptyMap(),
    val permitsRenewedAt: Timestamp = Timestamp(0),
) {
    private companion object {
        const val INITIAL_RETRY_BUDGET = 10.0
    }
}
