package org.cicadaarch.forwarding.observation

import org.cicadaarch.model.store.StoreCommand

/**
 * The kinds of calls to the store, with their names in metrics.
 */
internal enum class StoreCallKind(val label: String) {
    READ("read"),
    READ_PREFIX("read-prefix"),
    WATCH("watch"),
    WRITE("write"),
    DELETE("delete"),
    GRANT_LEASE("grant-lease"),
    RENEW_LEASE("renew-lease"),
    REVOKE_LEASE("revoke-lease"),
    ;

    /** Whether the store responds only after a change or when the call's waiting time is over. */
    val waitsForChange: Boolean get() = this == WATCH

    companion object {
        /** The kind of [command]. */
        fun of(command: StoreCommand): StoreCallKind = when (command) {
            is StoreCommand.Read -> READ
            is StoreCommand.ReadPrefix -> READ_PREFIX
            is StoreCommand.AwaitChange -> WATCH
            is StoreCommand.CompareAndSet -> WRITE
            is StoreCommand.CompareAndDelete -> DELETE
            is StoreCommand.GrantLease -> GRANT_LEASE
            is StoreCommand.RenewLease -> RENEW_LEASE
            is StoreCommand.RevokeLease -> REVOKE_LEASE
        }
    }
}
