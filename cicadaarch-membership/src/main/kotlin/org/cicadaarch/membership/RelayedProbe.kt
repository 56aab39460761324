package org.cicadaarch.membership

import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.Timestamp

/**
 * An indirect probe on behalf of the router at [requester], which identifies it by [requesterSequence].
 */
internal data class RelayedProbe(val requester: RouterAddress, val requesterSequence: Int, val deadline: Timestamp)
