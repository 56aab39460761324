package org.cicadaarch.model

import kotlinx.serialization.Serializable

/**
 * A live router, as known from the membership protocol. [leaving] is set from the start of its graceful shutdown.
 */
@Serializable
data class RouterInfo(
    val id: RouterId,
    val address: RouterAddress,
    val zone: ZoneName,
    val region: RegionName,
    val leaving: Boolean = false,
)
