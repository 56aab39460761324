package org.cicadaarch.experiment.membership

import org.cicadaarch.membership.ListedVm
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.Timestamp

/**
 * One router of a simulated fleet with some way to keep its view; [M] is what the routers send to each other.
 */
interface FleetNode<M> {
    /** The router that this node simulates. */
    val self: RouterInfo

    /** The view at present. */
    val view: RouterView

    /** Handles the periodic tick. */
    fun tick(now: Timestamp): NodeOutput<M>

    /** Handles [message] from [from]. */
    fun receive(from: RouterAddress, message: M, now: Timestamp): NodeOutput<M>

    /** Handles an answer of the platform's list. */
    fun listFetched(entries: List<ListedVm>, now: Timestamp): NodeOutput<M>

    /** Begins the graceful shutdown. */
    fun leave(now: Timestamp): NodeOutput<M>

    /** Ends the graceful shutdown. */
    fun depart(now: Timestamp): NodeOutput<M>

    /** Bytes of the node's state in CBOR. */
    fun stateBytes(): Int
}
