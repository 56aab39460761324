package org.cicadaarch.experiment.membership

import org.cicadaarch.model.RegionName
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.ZoneName

/**
 * How a simulated fleet is spread: [routers] over [zones] in turn, and the zones over [regions] in turn.
 */
data class FleetLayout(val routers: Int, val zones: Int, val regions: Int) {
    /** The router on VM [index] as its process number [process]; the address stays, the identity is new. */
    fun router(index: Int, process: Int): RouterInfo {
        val zone = index % zones
        val region = zone % regions
        val identity = mix(index.toLong() * MAXIMUM_PROCESSES + process)
        return RouterInfo(
            id = RouterId(identity.toULong().toString(HEXADECIMAL).padStart(IDENTITY_LENGTH, '0')),
            address = address(index),
            zone = ZoneName("region-$region-zone-$zone"),
            region = RegionName("region-$region"),
        )
    }

    /** The address of VM [index]. */
    fun address(index: Int): RouterAddress =
        RouterAddress("10.${index % zones}.${index / zones / BYTE_VALUES}.${index / zones % BYTE_VALUES}", PORT)

    private fun mix(value: Long): Long {
        val first = (value xor (value ushr 30)) * -0x40a7b892e31b1a47L
        val second = (first xor (first ushr 27)) * -0x6b2fb644ecceee15L
        return second xor (second ushr 31)
    }

    private companion object {
        const val PORT = 7_400
        const val BYTE_VALUES = 256
        const val HEXADECIMAL = 16
        const val IDENTITY_LENGTH = 16
        const val MAXIMUM_PROCESSES = 1_000L
    }
}
