package org.cicadaarch.model

import kotlinx.serialization.Serializable

/**
 * A live router as the membership sees it. [leaving] is set from the start of its graceful shutdown.
 */
@Serializable
data class RouterInfo(
    val id: RouterId,
    val address: RouterAddress,
    val zone: ZoneName,
    val region: RegionName,
    val leaving: Boolean = false,
)
