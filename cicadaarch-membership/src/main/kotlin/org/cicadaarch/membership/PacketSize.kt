package org.cicadaarch.membership

import org.cicadaarch.model.RouterAddress

/**
 * Upper bounds, in bytes, of the encoded size of message parts; strings are counted by their UTF-8 length.
 */
internal object PacketSize {
    private const val PROFILE_BYTES = 32
    private const val UPDATE_BYTES = 26
    private const val HEADER_BYTES = 64
    private const val ADDRESS_BYTES = 12
    private const val ASCII_LIMIT = 0x80

    /** Size of a message's fixed part with header [sender], without lists and addresses. */
    fun ofHeader(sender: Sender): Int = HEADER_BYTES + textBytes(sender.id.value) + ofProfile(sender.profile)

    /** Size of [update] as a list element. */
    fun of(update: MemberUpdate): Int =
        UPDATE_BYTES + textBytes(update.id.value) + (update.profile?.let(::ofProfile) ?: 0)

    /** Size of the host and port fields for [address]. */
    fun ofAddress(address: RouterAddress): Int = ADDRESS_BYTES + textBytes(address.host)

    private fun ofProfile(profile: MemberProfile): Int =
        PROFILE_BYTES + textBytes(profile.host) + textBytes(profile.zone.value) + textBytes(profile.region.value)

    private fun textBytes(text: String): Int =
        if (text.all { it.code < ASCII_LIMIT }) text.length else text.encodeToByteArray().size
}
