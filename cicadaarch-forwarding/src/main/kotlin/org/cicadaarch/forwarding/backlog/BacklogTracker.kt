package org.cicadaarch.forwarding.backlog

import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.forwarding.TaskScheduler
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.model.Timestamp

/**
 * Keeps the backlogs of all client connections and aborts responses while their sum is over [limit]. Calls [onAborted]
 * for each. All functions must be called in tasks of [scheduler].
 */
internal class BacklogTracker(
    private val limit: BacklogLimit,
    private val scheduler: TaskScheduler,
    private val onAborted: () -> Unit,
) {
    private val backlogs = LinkedHashMap<BacklogOwner, ResponseBacklog>()
    private var isRefreshScheduled = false
    private var isEnforcementScheduled = false

    /** The unsent bytes of all responses, as of the last update of each. */
    var totalBytes = 0L
        private set

    /** Number of responses of which bytes are unsent. */
    val responseCount: Int get() = backlogs.size

    /** Notes what is unsent at [owner]. Called after each write to the client, and when the client has taken some. */
    fun update(owner: BacklogOwner) {
        val bytes = owner.unsentBytes
        if (bytes <= 0) return remove(owner)
        val now = scheduler.now()
        put(owner, bytes, now)
        if (totalBytes > limit.maxBytes) scheduleEnforcement()
        scheduleRefresh()
    }

    /** Forgets [owner], whose connection was closed. */
    fun remove(owner: BacklogOwner) {
        val removed = backlogs.remove(owner) ?: return
        totalBytes -= removed.unsentBytes
    }

    private fun put(owner: BacklogOwner, bytes: Long, now: Timestamp) {
        val before = backlogs[owner]
        backlogs[owner] = before?.updated(bytes, now) ?: ResponseBacklog.of(bytes, now)
        totalBytes += bytes - (before?.unsentBytes ?: 0L)
    }

    /** In a task of its own: the caller may be in the middle of a response that is aborted. */
    private fun scheduleEnforcement() {
        if (isEnforcementScheduled) return
        isEnforcementScheduled = true
        scheduler.execute {
            isEnforcementScheduled = false
            enforce()
        }
    }

    private fun enforce() {
        refresh()
        limit.responsesToAbort(backlogs).forEach { abort(it) }
    }

    private fun abort(owner: BacklogOwner) {
        val backlog = backlogs[owner] ?: return
        LogEvents.info("response-aborted") {
            "request" to owner.requestId
            "unsentBytes" to backlog.unsentBytes
            "unreadMillis" to (scheduler.now() - backlog.unreadSince).inWholeMilliseconds
            "totalBytes" to totalBytes
            "maxBytes" to limit.maxBytes
        }
        onAborted()
        remove(owner)
        owner.abortUnread()
    }

    /** Only writes report what is unsent; what a client takes of a long response shows in the next refresh. */
    private fun scheduleRefresh() {
        if (isRefreshScheduled) return
        isRefreshScheduled = true
        scheduler.schedule(REFRESH_INTERVAL) {
            isRefreshScheduled = false
            refresh()
            if (backlogs.isNotEmpty()) scheduleRefresh()
        }
    }

    private fun refresh() {
        val now = scheduler.now()
        backlogs.keys.toList().forEach { owner ->
            val bytes = owner.unsentBytes
            if (bytes <= 0) remove(owner) else put(owner, bytes, now)
        }
    }

    private companion object {
        val REFRESH_INTERVAL = 250.milliseconds
    }
}
