package org.cicadaarch.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cicadaarch.model.RegionName
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.ZoneName

/**
 * A router's address and place in its short encoded form.
 */
@Serializable
data class MemberProfile(
    @SerialName("h") val host: String,
    @SerialName("p") val port: Int,
    @SerialName("z") val zone: ZoneName,
    @SerialName("r") val region: RegionName,
    @SerialName("l") val leaving: Boolean = false,
) {
    /** Where the router listens. */
    val address: RouterAddress get() = RouterAddress(host, port)

    /** The shared model's form for the router [id]. */
    fun toInfo(id: RouterId): RouterInfo = RouterInfo(id, address, zone, region, leaving)

    companion object {
        /** The encoded form of [info]. */
        fun of(info: RouterInfo): MemberProfile = MemberProfile(
            host = info.address.host,
            port = info.address.port,
            zone = info.zone,
            region = info.region,
            leaving = info.leaving,
        )
    }
}
