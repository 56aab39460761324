package org.cicadaarch.store

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.ZoneName

/**
 * An entry of the platform's JSON list of VMs; [address] is `host:port`.
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

    /** Converts the entry. Throws [IllegalArgumentException] if the address has no valid port. */
    fun toVirtualMachine(): VirtualMachine {
        val port = address.substringAfterLast(':', missingDelimiterValue = "").toIntOrNull()
        require(port != null) { "Address $address has no valid port." }
        return VirtualMachine(
            address = RouterAddress(host = address.substringBeforeLast(':'), port = port),
            zone = zone,
            leaving = state == State.LEAVING,
        )
    }
}
