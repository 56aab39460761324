package org.cicadaarch.experiment.membership

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.cbor.Cbor
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.RouterView

/**
 * The size of what a node knows of the fleet.
 */
internal object StateSize {
    /** Bytes of the routers of [view] in CBOR. */
    @OptIn(ExperimentalSerializationApi::class)
    fun of(view: RouterView): Int =
        Cbor.encodeToByteArray(ListSerializer(RouterInfo.serializer()), view.routers.values.toList()).size
}
