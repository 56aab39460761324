package org.cicadaarch.dispatch.observation

import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.TargetId

/**
 * Which response times are added up: those of [target] that routers of one [group] report.
 *
 * The median over the groups counts, so that a router that reports nonsense spoils one group only.
 */
data class TimesKey(val target: TargetId, val group: Int) {
    companion object {
        /** The fewest of which one can be wrong. */
        const val GROUPS = 3

        /** The key for what [reporter] reports of [target]; the same at all routers. */
        fun of(target: TargetId, reporter: RouterAddress?) =
            TimesKey(target, group = reporter?.toString().hashCode().mod(GROUPS))
    }
}
