package org.cicadaarch.ledger

import kotlin.test.assertTrue
import org.cicadaarch.model.RequestId

/** Knows only what callers and targets see: which requests ran when, and what their callers were told. */
internal class LedgerOracle(private val windowMilliseconds: Long) {
    private data class Run(val request: RequestId, val startedAt: Long)

    private val runs = mutableMapOf<Int, MutableList<Run>>()
    private val ran = mutableSetOf<RequestId>()
    private val notRun = mutableSetOf<RequestId>()

    fun started(key: Int, request: RequestId, at: Long) {
        assertTrue(ran.add(request), "$request ran twice")
        assertTrue(request !in notRun, "$request ran after its caller was told not-run")
        val earlier = runs.getOrPut(key) { mutableListOf() }
        val inWindow = earlier.filter { at - it.startedAt < windowMilliseconds }
        assertTrue(inWindow.isEmpty(), "key $key ran as $request at $at after $inWindow")
        earlier += Run(request, at)
    }

    fun reportedNotRun(request: RequestId) {
        assertTrue(request !in ran, "$request ran and its caller was told not-run")
        notRun += request
    }

    fun hasRun(key: Int): Boolean = key in runs
}
