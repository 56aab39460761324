package org.cicadaarch.forwarding.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.dispatch.target.TargetEntry
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp

/**
 * The targets whose entries disappeared from the store. When the store returns from an older copy, it has some of these
 * entries again, though nothing serves there. They are told apart for [ignoreTime] after that.
 */
internal class RemovedTargets(private val ignoreTime: Duration, private val now: () -> Timestamp) {
    private val removed = LinkedHashMap<TargetId, Removed>()
    private var ignoreUntil: Timestamp? = null

    /** The store has returned from an older copy of its contents, as of now. */
    fun storeRestored() {
        ignoreUntil = now() + ignoreTime
    }

    /** The entry of a target, which was last [entry], has disappeared. */
    fun add(entry: TargetEntry) {
        removed.remove(entry.id)
        removed[entry.id] = Removed(entry, now())
        val oldest = removed.values.first()
        if (removed.size > MAX_REMOVED || now() - oldest.at > MAX_AGE) removed.remove(oldest.entry.id)
    }

    /** Whether [entry], which the store has again, was written before its target left. */
    fun hasLeft(entry: TargetEntry): Boolean {
        if (ignoreUntil.let { it == null || it <= now() }) return false
        val last = removed[entry.id] ?: return false
        val hasLeft = now() - last.at <= MAX_AGE && !last.entry.isOlderThan(entry)
        if (hasLeft) {
            LogEvents.info("target-ignored") {
                "target" to entry.id
                "sequence" to entry.sequence
                "removedAt" to last.entry.sequence
            }
        }
        return hasLeft
    }

    private class Removed(val entry: TargetEntry, val at: Timestamp)

    private companion object {
        /** Older than a copy from which the store returns. */
        val MAX_AGE = 60.seconds
        const val MAX_REMOVED = 4_096
    }
}
