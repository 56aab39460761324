package org.cicadaarch.router.observation

import org.cicadaarch.core.RouterNotice
import org.cicadaarch.logging.LogEvents

/**
 * Writes the notices of the roles as log events.
 */
internal object NoticeLog {
    /** Logs [notice] under its role's name. */
    fun write(notice: RouterNotice) = when (notice) {
        is RouterNotice.OfMembership -> LogEvents.info("membership") { "notice" to notice.notice }
        is RouterNotice.OfLedger -> LogEvents.info("ledger") { "notice" to notice.notice }
        is RouterNotice.OfConfiguration -> LogEvents.warn("configuration") { "notice" to notice.notice }
        is RouterNotice.OfOrders -> LogEvents.info("orders") { "notice" to notice.notice }
    }
}
