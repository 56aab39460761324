package org.cicadaarch.dispatch.admission

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.cicadaarch.dispatch.request.OpenRequest
import org.cicadaarch.dispatch.request.OpenRequest.Phase.InFlight
import org.cicadaarch.dispatch.target.TargetEntry
import org.cicadaarch.model.TargetId

/**
 * The tokens of this router's requests in flight at each target, as far as the requests state them.
 */
data class TokenLoads(private val byProcess: PersistentMap<Process, TokenLoad> = persistentHashMapOf()) {
    /** The tokens at the process with [entry]. */
    fun at(entry: TargetEntry): TokenLoad = byProcess[Process.of(entry)] ?: TokenLoad.NONE

    /** A copy in which a request that was in the state [before] is in the state [after]; null if it is not open. */
    fun replaced(before: OpenRequest?, after: OpenRequest?): TokenLoads = minus(before).plus(after)

    private fun plus(open: OpenRequest?): TokenLoads {
        val process = processOf(open) ?: return this
        val load = loadOf(open)
        if (load == TokenLoad.NONE) return this
        return TokenLoads(byProcess.put(process, (byProcess[process] ?: TokenLoad.NONE) + load))
    }

    private fun minus(open: OpenRequest?): TokenLoads {
        val process = processOf(open) ?: return this
        val known = byProcess[process] ?: return this
        val remaining = known - loadOf(open)
        return TokenLoads(
            if (remaining == TokenLoad.NONE) byProcess.remove(process) else byProcess.put(process, remaining),
        )
    }

    private fun processOf(open: OpenRequest?): Process? = (open?.phase as? InFlight)?.let { Process.of(it.entry) }

    private fun loadOf(open: OpenRequest?): TokenLoad {
        val work = open?.request?.work ?: return TokenLoad.NONE
        return TokenLoad(
            unread = if (open.hasResponseStarted) 0 else open.unreadTokens,
            held = work.promptTokens + work.outputTokens,
        )
    }

    /** A process of the target with [id]. Attempts at an earlier one do not count at its successor. */
    data class Process(val id: TargetId, val startedAtMillis: Long) {
        companion object {
            /** The process that wrote [entry]. */
            fun of(entry: TargetEntry) = Process(entry.id, entry.startedAtMillis)
        }
    }
}
