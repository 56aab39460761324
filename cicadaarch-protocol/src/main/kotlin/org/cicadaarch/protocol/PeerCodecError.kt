package org.cicadaarch.protocol

/**
 * Bytes from another router were not a message, for [reason].
 */
data class PeerCodecError(val reason: String)
