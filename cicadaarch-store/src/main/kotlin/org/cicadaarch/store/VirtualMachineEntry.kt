package org.cicadaarch.store

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.ZoneName

/**
 * An entry of the list as the platform writes it; [address] is `host:port`.
 */
@Serializable
internal data class VirtualMachineEntry(val address: String, val zone: ZoneName, val state: State) {
    @Serializable
    enum class State {
        @SerialName("live")
        LIVE,

        @SerialName("leaving")
        LEAVING,
    }

    /** The entry in the model's types; fails with [IllegalArgumentException] on a malformed address. */
    fun toVirtualMachine(): VirtualMachine {
        val port = address.substringAfterLast(':', missingDelimiterValue = "").toIntOrNull()
        require(port != null) { "Address $address has no port." }
        return VirtualMachine(
            address = RouterAddress(host = address.substringBeforeLast(':'), port = port),
            zone = zone,
            leaving = state == State.LEAVING,
        )
    }
}
