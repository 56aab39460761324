package org.cicadaarch.orders

import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.fleet.WantedState

/**
 * What a holder knows of one engine. [known] is its last read state; nothing is done before [nextAt].
 *
 * [exchange] is the read or order that is not answered yet. [ordered] is the state of the last order, which may take
 * until [loadingUntil].
 */
data class EngineProgress(
    val nextAt: Timestamp,
    val known: EngineState? = null,
    val exchange: EngineExchange? = null,
    val ordered: WantedState? = null,
    val loadingUntil: Timestamp? = null,
)
