package org.cicadaarch.protocol

/**
 * Bytes from another router could not be decoded, for [reason].
 */
data class PeerCodecError(val reason: String)
