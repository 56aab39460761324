package org.cicadaarch.dispatch.quarantine

import kotlin.time.Duration.Companion.minutes
import org.cicadaarch.dispatch.quarantine.QuarantineState.KnownRecord
import org.cicadaarch.model.Timestamp

/**
 * How long records of crashes count, by the time for which this router has known them.
 */
internal object RecordRetention {
    /** Without another crash for this long, all crashes are forgotten. */
    val RETENTION = 10.minutes

    /** Each router removes its own records from the store; those of routers that are gone are removed later by all. */
    private val FOREIGN_RETENTION = RETENTION * 2

    /** Bounds the memory and the time of an analysis; enough for some dozen crashes. */
    const val MAX_TRAITS = 2_048

    /** When records may cease to count or become removable next, after [now]. */
    fun nextExpiry(records: Collection<KnownRecord>, now: Timestamp): Timestamp? {
        val lastCrash = records.filter { it.record is CrashRecord.Report }.maxOfOrNull { it.since }
        return (records.map { it.since + FOREIGN_RETENTION } + listOfNotNull(lastCrash?.plus(RETENTION)))
            .filter { it > now }
            .minOrNull()
    }

    /** Whether [known], which does not count any more, is to be removed from the store at [now]. */
    fun isRemovable(known: KnownRecord, isOwn: Boolean, now: Timestamp): Boolean =
        isOwn || now - known.since >= FOREIGN_RETENTION

    /**
     * The keys of [records] that count at [now]: all until [RETENTION] after the last crash, as older crashes are part
     * of its chains. Beyond [MAX_TRAITS] the oldest reports do not count.
     */
    fun countingKeys(records: Map<String, KnownRecord>, now: Timestamp): Set<String> {
        if (records.values.none { it.record is CrashRecord.Report && now - it.since < RETENTION }) return emptySet()
        var traits = 0
        val newestFirst = records.entries.sortedWith(
            compareByDescending<Map.Entry<String, KnownRecord>> { logicalTime(it.value) }.thenBy { it.key },
        )
        return newestFirst
            .takeWhile { (_, known) ->
                traits += size(known.record)
                traits <= MAX_TRAITS
            }
            .mapTo(HashSet()) { it.key }
    }

    /** Clearances and trials come before all reports, since they are few. */
    private fun logicalTime(known: KnownRecord): Long = when (val record = known.record) {
        is CrashRecord.Report -> record.logicalTime
        is CrashRecord.Clearance, is CrashRecord.Trial -> Long.MAX_VALUE
    }

    private fun size(record: CrashRecord): Int = when (record) {
        is CrashRecord.Report -> record.sentAt.size
        is CrashRecord.Clearance -> record.clearedUntil.size
        is CrashRecord.Trial -> record.traits.size
    }
}
