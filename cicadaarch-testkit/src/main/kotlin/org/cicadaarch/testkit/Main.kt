@file:OptIn(ExperimentalCli::class)

package org.cicadaarch.testkit

import java.util.concurrent.CountDownLatch
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default

/** Runs the stand-in that the first argument names until the process is stopped. */
fun main(arguments: Array<String>) {
    val parser = ArgParser("cicadaarch-testkit")
    parser.subcommands(
        StoreCommandLine(),
        VirtualMachineListCommandLine(),
        EngineCommandLine(),
        PlainServiceCommandLine(),
    )
    parser.parse(if (arguments.isEmpty()) arrayOf("--help") else arguments)
}

private abstract class StandInCommandLine(name: String, description: String) : Subcommand(name, description) {
    protected val port by option(ArgType.Int, "port", description = "Port of the service, 0 for any").default(0)
    protected val controlPort by option(ArgType.Int, "control-port", description = "Port of faults and logs, 0 for any")
        .default(0)

    protected fun serve(port: Int, controlPort: Int) {
        println("event=listening kind=$name port=$port controlPort=$controlPort")
        CountDownLatch(1).await()
    }
}

private class StoreCommandLine : StandInCommandLine("store", "The platform's key-value store") {
    override fun execute() {
        val store = StoreStandIn(port, controlPort)
        serve(store.port, store.controlPort)
    }
}

private class VirtualMachineListCommandLine : StandInCommandLine("vm-list", "The platform's list of VMs") {
    private val lag by option(ArgType.Int, "lag-milliseconds", description = "Delay until a change shows").default(0)

    override fun execute() {
        val list = VirtualMachineListStandIn(port, controlPort, lag.milliseconds)
        serve(list.port, list.controlPort)
    }
}

private class EngineCommandLine : StandInCommandLine("engine", "A model engine") {
    private val defaults = EngineOptions()
    private val slots by option(ArgType.Int, "slots", description = "Requests that run at once").default(defaults.slots)
    private val prefillTokensPerSecond by option(
        ArgType.Int,
        "prefill-tokens-per-second",
        description = "Reading speed",
    )
        .default(defaults.prefillTokensPerSecond)
    private val decodeInterval by option(ArgType.Int, "decode-interval-milliseconds", description = "Time per token")
        .default(defaults.decodeInterval.inWholeMilliseconds.toInt())
    private val cacheTokens by option(ArgType.Int, "cache-tokens", description = "Size of the prefix cache")
        .default(defaults.cacheTokens)
    private val defaultOutputTokens by option(ArgType.Int, "default-output-tokens", description = "Length of an answer")
        .default(defaults.defaultOutputTokens)
    private val loadLag by option(
        ArgType.Int,
        "load-lag-milliseconds",
        description = "Lag of the load report",
    ).default(0)
    private val eventLag by option(
        ArgType.Int,
        "event-lag-milliseconds",
        description = "Lag of cache events",
    ).default(0)
    private val eventGapShare by option(ArgType.Double, "event-gap-share", description = "Share of events left out")
        .default(defaults.eventGapShare)
    private val seed by option(ArgType.Int, "seed", description = "Chooses the events left out").default(1)
    private val checksFencing by option(ArgType.Boolean, "checks-fencing", description = "Refuse older fencing numbers")
        .default(false)

    override fun execute() {
        val engine = EngineStandIn(port, controlPort, options())
        serve(engine.port, engine.controlPort)
    }

    private fun options(): EngineOptions = EngineOptions(
        slots = slots,
        prefillTokensPerSecond = prefillTokensPerSecond,
        decodeInterval = decodeInterval.milliseconds,
        cacheTokens = cacheTokens,
        defaultOutputTokens = defaultOutputTokens,
        loadLag = loadLag.milliseconds,
        eventLag = eventLag.milliseconds,
        eventGapShare = eventGapShare,
        seed = seed.toLong(),
        checksFencing = checksFencing,
    )
}

private class PlainServiceCommandLine : StandInCommandLine("plain-service", "A plain HTTP service") {
    private val service by option(ArgType.String, "service", description = "Name in answers").default("plain")
    private val answerDelay by option(
        ArgType.Int,
        "answer-delay-milliseconds",
        description = "Time per request",
    ).default(0)
    private val deduplicates by option(ArgType.Boolean, "deduplicates", description = "Run a repeated key once")
        .default(false)

    override fun execute() {
        val options = PlainServiceOptions(service, answerDelay.milliseconds, deduplicates)
        val standIn = PlainServiceStandIn(port, controlPort, options)
        serve(standIn.port, standIn.controlPort)
    }
}
