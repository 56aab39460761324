package org.cicadaarch.membership

import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.Timestamp

/**
 * A pending probe. [target] is null when it is unknown which router listens at [address].
 *
 * [helpersAsked] is 0 while the probe is direct. [helperNacks] counts the negative acknowledgements of helpers that did
 * not reach the target.
 */
internal data class Probe(
    val target: RouterId?,
    val address: RouterAddress,
    val deadline: Timestamp,
    val helpersAsked: Int = 0,
    val helperNacks: Int = 0,
)
