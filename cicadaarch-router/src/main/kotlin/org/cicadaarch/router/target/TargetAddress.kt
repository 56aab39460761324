package org.cicadaarch.router.target

import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.fleet.Target

/**
 * Reads the `host:port` of a target, which the document's checks have made sure of.
 */
internal object TargetAddress {
    /** Where [target] listens. */
    fun of(target: Target): RouterAddress =
        RouterAddress(target.address.substringBeforeLast(':'), target.address.substringAfterLast(':').toInt())
}
