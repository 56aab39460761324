package org.cicadaarch.dispatch.evacuation

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.ZoneName

/**
 * The availability zones that operators evacuate, each with the time at which this router heard of it. Their targets
 * get no attempt until the evacuation ends.
 */
data class Evacuations(private val since: PersistentMap<ZoneName, Timestamp> = persistentMapOf()) {
    /** The evacuated zones. */
    val zones: Set<ZoneName> get() = since.keys

    /** A copy in which exactly [zones] are evacuated. Those that are known keep their time. */
    fun with(zones: Set<ZoneName>, now: Timestamp): Evacuations {
        val updated = since.builder()
        updated.keys.retainAll(zones)
        zones.forEach { updated.putIfAbsent(it, now) }
        return Evacuations(updated.build())
    }

    /** Whether targets in [zone] get no attempts. */
    fun contains(zone: ZoneName): Boolean = zone in since

    /**
     * Whether caches of targets in [zone] may be copied to others at [now], if nothing may reach these targets
     * [evacuationTime] after the evacuation was requested. Other targets take over the prompts of the zone meanwhile.
     */
    fun allowCacheCopies(zone: ZoneName, evacuationTime: Duration, now: Timestamp): Boolean {
        val heardAt = since[zone] ?: return true
        return now - heardAt < evacuationTime * CACHE_COPY_FRACTION
    }

    private companion object {
        /** The rest of the time covers the delay until this router heard of the evacuation, and the copy itself. */
        const val CACHE_COPY_FRACTION = 0.5
    }
}
