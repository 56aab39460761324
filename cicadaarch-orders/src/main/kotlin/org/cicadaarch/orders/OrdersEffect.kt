package org.cicadaarch.orders

import kotlin.time.Duration
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.fleet.WantedState
import org.cicadaarch.model.store.StoreCommand

/**
 * What the order holders of one router want done.
 */
sealed class OrdersEffect {
    /** Sends [command] to the store. */
    data class Store(val token: OrdersToken, val command: StoreCommand) : OrdersEffect()

    /** Asks [target] for its state, for at most [timeLimit]. */
    data class ReadEngineState(val token: OrdersToken, val target: TargetId, val timeLimit: Duration) : OrdersEffect()

    /**
     * Orders [target] into [state] under [fencingToken]. The clock is read again right before the first byte: at or after
     * [sendBefore] the order is not sent but answered [OrderResult.FAILED]. After [timeLimit] its connection is closed.
     */
    data class SendOrder(
        val token: OrdersToken,
        val target: TargetId,
        val state: WantedState,
        val fencingToken: Long,
        val sendBefore: Timestamp,
        val timeLimit: Duration,
    ) : OrdersEffect()

    /** Writes [notice] to the log. */
    data class Log(val notice: OrdersNotice) : OrdersEffect()
}
