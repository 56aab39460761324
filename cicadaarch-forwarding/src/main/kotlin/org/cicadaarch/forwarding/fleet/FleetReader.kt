package org.cicadaarch.forwarding.fleet

import org.cicadaarch.dispatch.routing.RoutingTable
import org.cicadaarch.dispatch.target.TargetEntry
import org.cicadaarch.forwarding.format.FleetFormat
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.ZoneName

/**
 * Parses store values into routing tables and targets. A value that cannot be parsed is logged once and ignored. A
 * routing table is passed on only if its version is higher than that of the previous one.
 *
 * A target's write may take effect after a later one, so an entry that is older than the one in use is ignored, but
 * only one in a row: a second one shows that the target itself counts from there, and that the entry in use is not its
 * own. An entry of a service that the configuration does not name is never the newer one.
 *
 * When the store returns from an older copy, an entry there of a target that had left is ignored: [RemovedTargets].
 */
internal class FleetReader(
    private val format: FleetFormat,
    private val onRoutingTable: (RoutingTable) -> Unit,
    private val onTargets: (List<TargetEntry>) -> Unit,
    private val onEvacuatedZones: (Set<ZoneName>) -> Unit,
    private val removedTargets: RemovedTargets,
) {
    private var services = emptySet<ServiceName>()
    private var installedVersion: Long? = null
    private var lastConfiguration: String? = null
    private var targets = emptyMap<String, DecodedTarget>()
    private var evacuatedZones = emptySet<ZoneName>()

    /** Handles a change of the values under the configuration prefix. */
    fun configurationChanged(values: Map<String, String>) {
        evacuationsChanged(format.evacuatedZones(values.keys))
        val value = values[format.configurationKey] ?: return
        if (value == lastConfiguration) return
        lastConfiguration = value
        format.parseRoutingTable(value).fold(
            ifLeft = { error -> LogEvents.warn("configuration-unreadable") { "error" to error } },
            ifRight = { installIfNewer(it) },
        )
    }

    /** Handles a change of the values under the target prefix. */
    fun targetsChanged(values: Map<String, String>) {
        val before = targets
        targets = values.mapValues { (key, value) -> before[key]?.takeIf { it.value == value } ?: decode(key, value) }
        (before - targets.keys).values.mapNotNull { it.entry }.forEach { removedTargets.add(it) }
        logChanges(before.mapValues { it.value.entry }, targets.mapValues { it.value.entry })
        onTargets(targets.values.mapNotNull { it.entry })
    }

    /** The store has returned from an older copy of its contents, as of now. An entry there may be an older one. */
    fun storeRestored() {
        removedTargets.storeRestored()
        targets = targets.mapValues { it.value.copy(hasIgnoredLate = false) }
    }

    /** Takes the entries of targets that had left, and that the store still has, for those of targets that serve. */
    fun endIgnoringRemovedTargets() {
        val ignored = targets.filterValues { it.hasLeft }
        if (ignored.isEmpty()) return
        val values = targets.mapValues { it.value.value }
        targets = targets - ignored.keys
        targetsChanged(values)
    }

    private fun evacuationsChanged(zones: Set<ZoneName>) {
        if (zones == evacuatedZones) return
        (zones - evacuatedZones).forEach { zone -> LogEvents.info("zone-evacuated") { "zone" to zone } }
        (evacuatedZones - zones).forEach { zone -> LogEvents.info("zone-evacuation-ended") { "zone" to zone } }
        evacuatedZones = zones
        onEvacuatedZones(zones)
    }

    private fun installIfNewer(table: RoutingTable) {
        val previous = installedVersion
        if (previous != null && table.version <= previous) return logOlder(table, previous)
        installedVersion = table.version
        services = table.services.keys
        LogEvents.info("configuration-applied") {
            "version" to table.version
            "before" to previous
            "routes" to table.size
        }
        onRoutingTable(table)
    }

    private fun logOlder(table: RoutingTable, installed: Long) {
        if (table.version == installed) return
        LogEvents.warn("configuration-older") {
            "version" to table.version
            "installed" to installed
        }
    }

    private fun decode(key: String, value: String): DecodedTarget {
        val entry = format.parseTarget(key, value).fold(
            ifLeft = { error ->
                LogEvents.warn("target-unreadable") {
                    "key" to key
                    "error" to error
                }
                null
            },
            ifRight = { it },
        )
        val last = targets[key]
        val wasInUse = last != null && !last.hasLeft
        val hasLeft = entry != null && !wasInUse && removedTargets.hasLeft(entry)
        if (hasLeft) return DecodedTarget(value, entry = null, hasLeft = true)
        val isLate = entry != null && last != null && isLate(entry, last)
        return DecodedTarget(value, entry = if (isLate) last?.entry else entry, hasIgnoredLate = isLate)
    }

    private fun isLate(entry: TargetEntry, last: DecodedTarget): Boolean {
        val used = last.entry?.takeIf { it.service in services } ?: return false
        return !last.hasIgnoredLate && entry.isOlderThan(used)
    }

    private fun logChanges(before: Map<String, TargetEntry?>, after: Map<String, TargetEntry?>) {
        (before.keys + after.keys).forEach { key ->
            val old = before[key]
            val new = after[key]
            val change = when {
                old == null && new == null -> null
                new == null -> "target-gone"
                old == null || !old.isSameProcess(new) -> "target-seen"
                !old.isDraining && new.isDraining -> "target-draining"
                else -> null
            }
            if (change != null) logChange(change, checkNotNull(new ?: old))
        }
    }

    private fun logChange(change: String, entry: TargetEntry) = LogEvents.info(change) {
        "target" to entry.id
        "service" to entry.service
        "address" to "${entry.host}:${entry.port}"
        "startedAt" to entry.startedAtMillis
        "sequence" to entry.sequence
    }

    /**
     * The [entry] in use after [value], null if none. [hasIgnoredLate] tells that it is not that of [value], and
     * [hasLeft] that [value] is the entry of a target that had left.
     */
    private data class DecodedTarget(
        val value: String,
        val entry: TargetEntry?,
        val hasIgnoredLate: Boolean = false,
        val hasLeft: Boolean = false,
    )
}
