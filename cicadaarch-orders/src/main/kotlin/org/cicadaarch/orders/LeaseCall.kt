package org.cicadaarch.orders

import org.cicadaarch.model.Timestamp

/**
 * A store call for a group's lease that was sent at [sentAt] and has not completed yet.
 */
data class LeaseCall(val number: Long, val kind: Kind, val sentAt: Timestamp) {
    /** The operation that the call performs. */
    enum class Kind {
        /** Grants a lease. */
        GRANT,

        /** Creates the group's key bound to the lease. */
        CLAIM,

        /** Renews the lease. */
        RENEW,

        /** Revokes the lease. */
        REVOKE,
    }
}
