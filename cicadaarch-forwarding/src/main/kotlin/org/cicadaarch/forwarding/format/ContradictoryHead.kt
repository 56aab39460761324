package org.cicadaarch.forwarding.format

/** The head of a response is not that of one message, for [reason]: nothing in it can be relied on. */
data class ContradictoryHead(val reason: String)
