package org.cicadaarch.ledger

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.RouterView

/**
 * The claims of the requests with idempotency keys at one ingress. A claim is kept until it is denied or refused, or
 * until the end of its request is recorded in the ledger.
 */
data class ClaimantState(val view: RouterView, val claims: PersistentMap<RequestId, TrackedClaim> = persistentMapOf())
