package org.cicadaarch.experiment.membership

/**
 * What a node wants done after an event: datagrams to send, and whether to read the platform's list.
 */
data class NodeOutput<M>(val datagrams: List<Datagram<M>> = emptyList(), val fetchesList: Boolean = false)
