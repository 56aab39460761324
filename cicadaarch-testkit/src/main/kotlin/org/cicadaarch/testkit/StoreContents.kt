package org.cicadaarch.testkit

import java.util.TreeMap

/**
 * The keys, leases and history of the store in memory. Leases lapse by the monotonic clock, given in nanoseconds.
 */
internal class StoreContents(private val historyLimit: Int, private val onWrite: () -> Unit) {
    private val entries = TreeMap<String, StoreEntry>()
    private val leases = mutableMapOf<Long, Lease>()
    private val history = ArrayDeque<StoreChange>()
    private var lastLease = FIRST_LEASE

    /** The number of the last write. */
    var revision = 1L
        private set

    /** The revision up to which the history was dropped. */
    var compactRevision = 0L
        private set

    /** The entry of [key], or null. */
    fun entry(key: String): StoreEntry? = entries[key]

    /** The entries from [key] to before [end]: of [key] alone when [end] is null, without bound when it is zero. */
    fun range(key: String, end: String?): List<StoreEntry> = when (end) {
        null -> listOfNotNull(entries[key])
        NO_END -> entries.tailMap(key).values.toList()
        else -> if (key < end) entries.subMap(key, end).values.toList() else emptyList()
    }

    /** The changes in the range of [key] and [end] from [firstRevision] on. */
    fun changes(key: String, end: String?, firstRevision: Long): List<StoreChange> = history
        .asReversed()
        .takeWhile { it.revision >= firstRevision }
        .filter { contains(key, end, it.key) }
        .asReversed()

    /** Writes all [puts] and deletes [deletions] at one new revision; nothing happens when there is no such key. */
    fun write(puts: List<StorePut>, deletions: List<String>) {
        val doomed = deletions.filter { it in entries }
        if (puts.isEmpty() && doomed.isEmpty()) return
        revision++
        history += puts.map { put(it) } + doomed.map { delete(it) }
        while (history.size > historyLimit) compactRevision = history.removeFirst().revision
        onWrite()
    }

    /** Grants a lease of [seconds] and returns its identity. */
    fun grant(seconds: Long, now: Long): Long {
        lastLease++
        leases[lastLease] = Lease(seconds, now + seconds * NANOSECONDS_PER_SECOND)
        return lastLease
    }

    /** Renews [lease] and returns its seconds, or null when it does not exist. */
    fun renew(lease: Long, now: Long): Long? {
        val held = leases[lease] ?: return null
        leases[lease] = held.copy(expiry = now + held.seconds * NANOSECONDS_PER_SECOND)
        return held.seconds
    }

    /** Ends [lease] with its keys; returns false when it does not exist. */
    fun revoke(lease: Long): Boolean {
        leases.remove(lease) ?: return false
        write(puts = emptyList(), deletions = entries.values.filter { it.lease == lease }.map { it.key })
        return true
    }

    /** Tells whether [lease] exists. */
    fun isHeld(lease: Long): Boolean = lease in leases

    /** Ends all leases that were not renewed in time. */
    fun expire(now: Long) = leases.filterValues { it.expiry - now <= 0 }.keys.toList().forEach { revoke(it) }

    private fun contains(key: String, end: String?, candidate: String): Boolean = when (end) {
        null -> candidate == key
        NO_END -> candidate >= key
        else -> candidate >= key && candidate < end
    }

    private fun put(put: StorePut): StoreChange {
        val before = entries[put.key]
        val after = StoreEntry(
            key = put.key,
            value = put.value,
            createRevision = before?.createRevision ?: revision,
            modifyRevision = revision,
            version = (before?.version ?: 0) + 1,
            lease = put.lease,
        )
        entries[put.key] = after
        return StoreChange(revision, put.key, after)
    }

    private fun delete(key: String): StoreChange {
        entries.remove(key)
        return StoreChange(revision, key, after = null)
    }

    private data class Lease(val seconds: Long, val expiry: Long)

    companion object {
        /** A range end that stands for no bound. */
        const val NO_END = "\u0000"
        private const val FIRST_LEASE = 7_000L
        private const val NANOSECONDS_PER_SECOND = 1_000_000_000L
    }
}
