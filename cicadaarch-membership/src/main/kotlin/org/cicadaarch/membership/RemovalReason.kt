package org.cicadaarch.membership

/**
 * Why a router is no longer a member.
 */
enum class RemovalReason {
    /** It did not answer probes and did not refute the suspicion in time. */
    UNREACHABLE,

    /** It said goodbye at the end of its graceful shutdown. */
    DEPARTED,

    /** Another process answers at its address. */
    REPLACED,
}
