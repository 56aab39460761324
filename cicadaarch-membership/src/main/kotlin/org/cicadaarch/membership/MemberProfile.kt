package org.cicadaarch.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cicadaarch.model.RegionName
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.ZoneName

/**
 * The wire format of a router's address, location and leaving flag, with short field names.
 */
@Serializable
data class MemberProfile(
    @SerialName("h") val host: String,
    @SerialName("p") val port: Int,
    @SerialName("z") val zone: ZoneName,
    @SerialName("r") val region: RegionName,
    @SerialName("l") val leaving: Boolean = false,
) {
    /** The address on which the router listens. */
    val address: RouterAddress get() = RouterAddress(host, port)

    /** Converts this profile of the router [id] to the model class. */
    fun toInfo(id: RouterId): RouterInfo = RouterInfo(id, address, zone, region, leaving)

    companion object {
        /** Converts [info] to its wire format. */
        fun of(info: RouterInfo): MemberProfile = MemberProfile(
            host = info.address.host,
            port = info.address.port,
            zone = info.zone,
            region = info.region,
            leaving = info.leaving,
        )
    }
}
