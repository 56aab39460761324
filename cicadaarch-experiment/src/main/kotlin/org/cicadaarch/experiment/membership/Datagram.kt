package org.cicadaarch.experiment.membership

import org.cicadaarch.model.RouterAddress

/**
 * A [message] on its way to [to], of [bytes] when encoded.
 */
data class Datagram<M>(val to: RouterAddress, val message: M, val bytes: Int)
