package org.cicadaarch.forwarding.observation

import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreResult

/**
 * The ways in which calls to the store end, with their names in metrics and logs.
 */
internal enum class StoreCallResult(val label: String) {
    VALUES("values"),

    /** A watch whose waiting time was over. */
    NO_CHANGE("no-change"),
    WRITTEN("written"),
    CONFLICT("conflict"),
    LEASE_HELD("lease-held"),
    LEASE_LOST("lease-lost"),

    /** The store does not have the changes that a watch asked for. */
    COMPACTED("compacted"),
    REFUSED("refused"),
    UNANSWERED("unanswered"),
    TIMEOUT("timeout"),
    ;

    /** Whether the store did not carry out the call, as far as this router knows. */
    val isFailure: Boolean get() = this == REFUSED || this == UNANSWERED || this == TIMEOUT

    companion object {
        /** How [command] ended, if the store's client passed on [result]. */
        fun of(command: StoreCommand, result: StoreResult): StoreCallResult = when (result) {
            is StoreResult.Values -> valuesOf(command, result)
            is StoreResult.Written -> WRITTEN
            is StoreResult.Conflict -> CONFLICT
            is StoreResult.LeaseHeld -> LEASE_HELD
            StoreResult.LeaseLost -> LEASE_LOST
            StoreResult.Compacted -> COMPACTED
            is StoreResult.Refused -> REFUSED
            is StoreResult.Unanswered -> if (result.isTimeout) TIMEOUT else UNANSWERED
        }

        private fun valuesOf(command: StoreCommand, result: StoreResult.Values): StoreCallResult {
            val hasWaitedInVain = StoreCallKind.of(command).waitsForChange && result.values.isEmpty()
            return if (hasWaitedInVain) NO_CHANGE else VALUES
        }
    }
}
