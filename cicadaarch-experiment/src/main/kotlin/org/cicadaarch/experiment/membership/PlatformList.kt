package org.cicadaarch.experiment.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import org.cicadaarch.membership.ListedVm
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.Timestamp

/**
 * The platform's list of VMs: each reader sees it as it was some time ago, or not at all while it is down.
 */
class PlatformList {
    private val versions = mutableListOf(Timestamp(0) to emptyMap<RouterAddress, ListedVm>())

    /** Whether reading fails. */
    var down: Boolean = false

    /** How old the list is that a reader gets. */
    var lagOf: (RouterAddress) -> Duration = { ZERO }

    /** Adds or replaces [entry] from [now] on. */
    fun put(entry: ListedVm, now: Timestamp) {
        versions += now to (versions.last().second + (entry.address to entry))
    }

    /** Takes out the entry of [address] from [now] on. */
    fun remove(address: RouterAddress, now: Timestamp) {
        versions += now to (versions.last().second - address)
    }

    /** What [reader] gets at [now], or null while the list is down. */
    fun read(reader: RouterAddress, now: Timestamp): List<ListedVm>? {
        val at = now - lagOf(reader)
        return if (down) null else versions.last { it.first <= at || it == versions.first() }.second.values.toList()
    }
}
