package org.cicadaarch.orders

import org.cicadaarch.model.Timestamp

/**
 * A store call about a group's lease that is not answered yet, sent at [sentAt].
 */
data class LeaseCall(val number: Long, val kind: Kind, val sentAt: Timestamp) {
    /** What the call does. */
    enum class Kind {
        /** Grants a lease. */
        GRANT,

        /** Creates the group's key bound to the lease. */
        CLAIM,

        /** Renews the lease. */
        RENEW,

        /** Ends the lease. */
        REVOKE,
    }
}
