package org.cicadaarch.ledger

import kotlin.test.assertTrue
import org.cicadaarch.model.RequestId

/**
 * Checks the guarantees of the ledger by what clients and targets observe: which requests ran when, and which were
 * reported to the client as not run.
 */
internal class LedgerOracle(private val windowMilliseconds: Long) {
    private data class Run(val request: RequestId, val startedAt: Long)

    private val runs = mutableMapOf<Int, MutableList<Run>>()
    private val ran = mutableSetOf<RequestId>()
    private val notRun = mutableSetOf<RequestId>()

    fun started(key: Int, request: RequestId, at: Long) {
        assertTrue(ran.add(request), "$request ran twice")
        assertTrue(request !in notRun, "$request ran after not-run was reported to its client")
        val earlier = runs.getOrPut(key) { mutableListOf() }
        val inWindow = earlier.filter { at - it.startedAt < windowMilliseconds }
        assertTrue(inWindow.isEmpty(), "key $key ran again with $request at $at, after $inWindow")
        earlier += Run(request, at)
    }

    fun reportedNotRun(request: RequestId) {
        assertTrue(request !in ran, "not-run was reported to the client of $request, which ran")
        notRun += request
    }

    fun hasRun(key: Int): Boolean = key in runs
}
