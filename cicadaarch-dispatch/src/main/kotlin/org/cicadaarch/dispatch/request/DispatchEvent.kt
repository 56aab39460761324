package org.cicadaarch.dispatch.request

import org.cicadaarch.dispatch.target.LoadReport
import org.cicadaarch.dispatch.target.TargetEntry
import org.cicadaarch.model.TargetId

/**
 * All that can happen to the dispatch of requests. Attempts of a request are numbered from 1.
 */
sealed class DispatchEvent {
    /** A whole request was read from a caller. */
    data class RequestReceived(val request: DispatchRequest) : DispatchEvent()

    /** The first part of an answer was passed to the caller. */
    data class ResponseStarted(val id: ExchangeId, val attempt: Int) : DispatchEvent()

    /** Bytes came for an attempt. */
    data class DataReceived(val id: ExchangeId, val attempt: Int) : DispatchEvent()

    /** An attempt ended. */
    data class AttemptEnded(val id: ExchangeId, val attempt: Int, val result: AttemptResult) : DispatchEvent()

    /** The caller closed its connection. */
    data class ClientDisconnected(val id: ExchangeId) : DispatchEvent()

    /** A target told its load with an answer. */
    data class LoadReported(val target: TargetId, val load: LoadReport) : DispatchEvent()

    /** The list of targets is now [entries]. */
    data class TargetsChanged(val entries: List<TargetEntry>) : DispatchEvent()

    /** Time has passed. */
    data object Tick : DispatchEvent()
}
