package org.cicadaarch.orders

import kotlin.time.Duration
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.fleet.WantedState
import org.cicadaarch.model.store.StoreCommand

/**
 * A side effect that [OrdersReducer] requests.
 */
sealed class OrdersEffect {
    /** Sends [command] to the store. */
    data class Store(val token: OrdersToken, val command: StoreCommand) : OrdersEffect()

    /** Reads the state of [target] with a timeout of [timeLimit]. */
    data class ReadEngineState(val token: OrdersToken, val target: TargetId, val timeLimit: Duration) : OrdersEffect()

    /**
     * Orders [target] into [state] under [fencingToken].
     *
     * The clock must be read again right before the first byte is sent: at or after [sendBefore] the order is not sent
     * and completes as [OrderResult.FAILED]. The connection is closed after [timeLimit].
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
