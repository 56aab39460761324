package org.cicadaarch.membership

/**
 * Why a router is no longer a member.
 */
enum class RemovalReason {
    /** It failed to respond to probes and did not refute the suspicion in time. */
    UNREACHABLE,

    /** It announced its departure at the end of its graceful shutdown. */
    DEPARTED,

    /** Another process responds at its address. */
    REPLACED,
}
