package org.cicadaarch.ledger

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.RouterView

/**
 * The keyed requests of one ingress, from their arrival until their end is recorded in the ledger.
 */
data class ClaimantState(val view: RouterView, val claims: PersistentMap<RequestId, TrackedClaim> = persistentMapOf())
