package org.cicadaarch.membership

import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.Timestamp

/**
 * A probe made for the router at [requester], which knows it by its own [requesterSequence].
 */
internal data class RelayedProbe(val requester: RouterAddress, val requesterSequence: Int, val deadline: Timestamp)
