package org.cicadaarch.forwarding.quarantine

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.cicadaarch.dispatch.quarantine.CrashRecord
import org.cicadaarch.forwarding.TaskScheduler
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.model.store.ExpectedState
import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreResult
import org.cicadaarch.model.store.StoreVersion
import org.cicadaarch.store.Store
import org.cicadaarch.store.StoreEra

/**
 * Writes and removes records of crashes below [prefix] of [store]. All functions must be called in tasks of
 * [scheduler], which runs the callbacks too.
 */
internal class CrashRecordStore(
    private val prefix: String,
    private val store: Store,
    private val scheduler: TaskScheduler,
    private val storeEra: StoreEra,
    private val random: Random = Random.Default,
) {
    /** The values to be written, by key. Each key has at most one call in flight. */
    private val unwritten = HashMap<String, String>()
    private val versions = HashMap<String, StoreVersion>()

    /** How often writes failed in a row, by key. */
    private val failures = HashMap<String, Int>()

    /** The keys being removed, and whether their removal was asked for again meanwhile. */
    private val removals = HashMap<String, Boolean>()

    /** The values to be written again, by key, and the keys that were within the last [MAX_REWRITE_DELAY]. */
    private val lostValues = HashMap<String, String>()
    private val rewrites = HashSet<String>()

    /** Writes [record] at [key], if need be again and again, unless a later call replaces it. */
    fun write(key: String, record: CrashRecord) {
        removals.computeIfPresent(key) { _, _ -> false }
        val isIdle = unwritten.put(key, encode(record)) == null
        if (isIdle) attemptWrite(key)
    }

    /**
     * Writes [record] at [key] if that key does not exist. [onResult] gets true if that is certain, so that no other
     * router did the same, and otherwise false after a pause, as the caller may make the next claim at once.
     */
    fun claim(key: String, record: CrashRecord, onResult: (Boolean) -> Unit) {
        val command = StoreCommand.CompareAndSet(prefix + key, ExpectedState.Absent, encode(record))
        execute(command) { result ->
            val isGranted = result is StoreResult.Written
            if (isGranted) onResult(true) else scheduler.schedule(CLAIM_INTERVAL) { onResult(false) }
        }
    }

    /**
     * Removes [key], in a few attempts at most: another router, or a later one, removes what is left. The caller asks
     * for it again as often as it sees the key, which takes effect once the attempts have ended.
     */
    fun remove(key: String) {
        listOf(unwritten, versions, failures).forEach { it.remove(key) }
        if (removals.put(key, key in removals) == null) attemptRemoval(key, MAX_REMOVALS)
    }

    /**
     * Writes [values] again, by key, which the store lost when it returned from an older copy. Other routers do so too,
     * so each waits for a random time and writes only those keys that [isMissing] then.
     */
    fun rewrite(values: Map<String, String>, isMissing: (key: String) -> Boolean) = values.forEach { (key, value) ->
        lostValues[key] = value
        if (rewrites.add(key)) scheduleRewrite(key, isMissing)
    }

    /** Writes the value of [key] once within [MAX_REWRITE_DELAY], and again only if it is lost again meanwhile. */
    private fun scheduleRewrite(key: String, isMissing: (key: String) -> Boolean) {
        scheduler.schedule(MAX_REWRITE_DELAY * random.nextDouble()) {
            val value = lostValues.remove(key)
            if (value != null && isMissing(key)) {
                execute(StoreCommand.CompareAndSet(key, ExpectedState.Absent, value)) { result ->
                    logRewrite(key, result)
                }
            }
        }
        scheduler.schedule(MAX_REWRITE_DELAY) {
            if (key in lostValues) scheduleRewrite(key, isMissing) else rewrites -= key
        }
    }

    private fun logRewrite(key: String, result: StoreResult) = LogEvents.info("crash-record-rewritten") {
        "key" to key
        "result" to result
    }

    private fun attemptRemoval(key: String, attempts: Int) {
        if (attempts == 0) {
            LogEvents.warn("crash-record-not-removed") { "key" to key }
            return removalEnded(key)
        }
        execute(StoreCommand.Read(prefix + key)) { result ->
            val values = (result as? StoreResult.Values)?.values
            val current = values?.firstOrNull { it.value != null }
            when {
                values == null -> scheduler.schedule(REMOVAL_INTERVAL) { attemptRemoval(key, attempts - 1) }
                current != null -> removeAt(key, current.version, attempts)
                else -> removalEnded(key)
            }
        }
    }

    private fun removeAt(key: String, version: StoreVersion, attempts: Int) {
        val command = StoreCommand.CompareAndDelete(prefix + key, ExpectedState.AtVersion(version))
        execute(command) { result ->
            if (result is StoreResult.Written) return@execute removalEnded(key)
            scheduler.schedule(REMOVAL_INTERVAL) { attemptRemoval(key, attempts - 1) }
        }
    }

    /** Removes [key] again if that was asked for, but not at once: the watch may not have seen that it is gone. */
    private fun removalEnded(key: String) {
        scheduler.schedule(REMOVAL_INTERVAL) { if (removals.remove(key) == true) remove(key) }
    }

    private fun attemptWrite(key: String) {
        val value = unwritten[key] ?: return
        val version = versions[key]?.takeIf { it.era == storeEra.current }
        val expected = version?.let { ExpectedState.AtVersion(it) } ?: ExpectedState.Absent
        execute(StoreCommand.CompareAndSet(prefix + key, expected, value)) { result ->
            when (result) {
                is StoreResult.Written -> written(key, value, result.version)
                is StoreResult.Conflict -> conflicted(key, value, result)
                else -> retryWrite(key, result)
            }
        }
    }

    private fun written(key: String, value: String, version: StoreVersion) {
        versions[key] = version
        failures.remove(key)
        if (unwritten[key] != value) return attemptWrite(key)
        unwritten.remove(key)
    }

    /** The key is as an earlier write of unknown result, an earlier process or an operator left it. */
    private fun conflicted(key: String, value: String, conflict: StoreResult.Conflict) {
        val current = conflict.current
        if (current == null) versions.remove(key) else versions[key] = current.version
        if (current?.value == value) written(key, value, current.version) else schedule(key, MIN_RETRY_INTERVAL)
    }

    private fun retryWrite(key: String, result: StoreResult) {
        LogEvents.info("crash-record-not-written") {
            "key" to key
            "result" to result
        }
        val failed = failures[key] ?: 0
        failures[key] = failed + 1
        schedule(key, MIN_RETRY_INTERVAL * (1 shl failed.coerceAtMost(MAX_RETRY_DOUBLINGS)))
    }

    private fun schedule(key: String, delay: Duration) {
        scheduler.schedule(delay) { attemptWrite(key) }
    }

    private fun execute(command: StoreCommand, onResult: (StoreResult) -> Unit) =
        store.execute(command) { result -> scheduler.execute { onResult(result) } }

    private fun encode(record: CrashRecord): String = Json.encodeToString(CrashRecordMessage.of(record))

    companion object {
        /** Records tell others what to hold back: they are read sooner than the entries of targets. */
        val BATCHING_DELAY: Duration = 50.milliseconds

        /** How long the records that the store lost when it returned from an older copy stay in force. */
        val REWRITE_TIME: Duration = 10.seconds
        private val MAX_REWRITE_DELAY = REWRITE_TIME / 4
        private val MIN_RETRY_INTERVAL: Duration = 200.milliseconds
        private val CLAIM_INTERVAL: Duration = 200.milliseconds

        /** Up to 0.8 s, so that a report reaches the others soon after an outage of the store. */
        private const val MAX_RETRY_DOUBLINGS = 2
        private val REMOVAL_INTERVAL: Duration = 5.seconds
        private const val MAX_REMOVALS = 5
    }
}
