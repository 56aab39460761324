package org.cicadaarch.store

import java.util.concurrent.CopyOnWriteArrayList

/**
 * The era of the store, a number that rises each time the store returns from an older copy of its contents, as far as
 * this process knows. It is 0 until one has been stated. All functions may be called on any thread.
 */
class StoreEra {
    private val listeners = CopyOnWriteArrayList<(Change) -> Unit>()

    /** The latest era that is known. */
    @Volatile
    var current: Long = 0L
        private set

    /** How often the store has returned from an older copy, as far as this process knows. */
    @Volatile
    var restorations: Int = 0
        private set

    /** Calls [onChange] each time a later era becomes known, also the first one. */
    fun onChange(onChange: (Change) -> Unit) {
        listeners += onChange
    }

    /**
     * Learns that the store or another router has stated [era]. Listeners have heard of a later one before this
     * returns, on any thread. Returns whether the era is the latest known, so that what came with it holds.
     */
    @Synchronized
    fun observe(era: Long): Boolean {
        val change = advanceTo(era)
        if (change != null) listeners.forEach { it(change) }
        return era >= current
    }

    /** Whether the store may be in [era], rather than that its statement is garbled. */
    fun isPlausible(era: Long): Boolean = era > 0 && (current == 0L || era - current <= MAX_RISE)

    private fun advanceTo(era: Long): Change? {
        val before = current
        if (era <= before || !isPlausible(era)) return null
        current = era
        if (before > 0) restorations += 1
        return Change(before, era)
    }

    private companion object {
        /** The era rises by one with each restoration, some of which a process may miss. */
        const val MAX_RISE = 1_000L
    }

    /** The store is in the era [after]; the latest one known was [before], 0 if none. */
    data class Change(val before: Long, val after: Long) {
        /** Whether the store has returned from an older copy, rather than stated its era for the first time. */
        val isRestoration: Boolean get() = before > 0
    }
}
