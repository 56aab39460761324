package org.cicadaarch.testkit

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What the stand-ins of targets share: faults, crashes and the log of runs with the paths that serve them.
 */
internal class TargetControl(private val server: () -> StandInServer) {
    private var fault = TargetFault(TargetFault.Mode.NORMAL)
    private var crashes = 0

    /** The requests that ran. */
    val runs = RunLog()

    /** Answers [exchange] when it is a control path; returns whether it was. */
    fun handle(exchange: StandInExchange): Boolean {
        when (exchange.path) {
            "/fault" -> setFault(exchange)
            "/ran" -> exchange.answer(runs.records)
            "/crashes" -> exchange.answer(mapOf("crashes" to crashes))
            else -> return false
        }
        return true
    }

    /** Crashes the target when [exchange] contains the text of the fault; returns whether it did. */
    fun crashesOn(exchange: StandInExchange): Boolean {
        if (fault.mode != TargetFault.Mode.CRASH_ON || fault.text !in exchange.body) return false
        crashes++
        runs.start(exchange)
        server().stopListening()
        server().schedule(CRASH_DURATION) { server().startListening() }
        return true
    }

    /** The time that work of [duration] takes under the present fault. */
    fun slowed(duration: Duration): Duration =
        if (fault.mode == TargetFault.Mode.SLOW) duration * fault.factor else duration

    private fun setFault(exchange: StandInExchange) {
        fault = testkitJson.decodeFromString(exchange.body)
        if (fault.mode == TargetFault.Mode.SILENT) server().silenceConnections(exempt = exchange)
        exchange.answer(fault)
    }

    private companion object {
        val CRASH_DURATION = 1.seconds
    }
}
