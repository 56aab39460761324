package org.cicadaarch.experiment.processes

import java.io.File
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/**
 * The router processes of a scenario. Each is started from this program's own class path and ended by its handle.
 */
internal class RouterProcesses(
    private val zones: List<String>,
    private val region: String,
    private val storeAddress: String,
    private val listAddress: String,
    private val logs: File?,
) : AutoCloseable {
    private val processes = ConcurrentHashMap<Int, Process>()
    private val faulty = ConcurrentHashMap.newKeySet<Int>()
    private val lastFault = ConcurrentHashMap<Int, Long>()

    /** The routers' numbers, from one. */
    val numbers: IntRange = 1..zones.size

    /** Where callers connect to router [number]. */
    fun callerAddress(number: Int): String = address(CALLER_PORT, number)

    /** Where operators connect to router [number]. */
    fun operatorsAddress(number: Int): String = address(OPERATORS_PORT, number)

    /** Where other routers connect to router [number]. */
    fun peerAddress(number: Int): String = address(PEER_PORT, number)

    /** Starts router [number], once its earlier process is gone. */
    fun start(number: Int) {
        val earlier = processes[number]
        if (earlier == null) launch(number) else earlier.onExit().thenRun { launch(number) }
    }

    /** Ends router [number] at once. */
    fun kill(number: Int) {
        faulty += number
        processes.getValue(number).destroyForcibly()
    }

    /** Pauses router [number]. */
    fun freeze(number: Int) {
        faulty += number
        signal("-STOP", number)
    }

    /** Lets router [number] go on. */
    fun resume(number: Int) {
        endFault(number)
        signal("-CONT", number)
    }

    /** Asks router [number] for a graceful shutdown. */
    fun stop(number: Int) = processes.getValue(number).destroy()

    /** Whether router [number] was down after a kill, or paused, at any moment since [time], in nanoseconds. */
    fun hadFaultAfter(number: Int, time: Long): Boolean =
        number in faulty || lastFault[number]?.let { it - time >= 0 } == true

    override fun close() {
        processes.values.forEach { it.destroyForcibly() }
        processes.values.forEach { it.waitFor(END_SECONDS, TimeUnit.SECONDS) }
    }

    private fun endFault(number: Int) {
        lastFault[number] = System.nanoTime()
        faulty -= number
    }

    private fun launch(number: Int) {
        if (number in faulty) endFault(number)
        val builder = ProcessBuilder(command(number)).redirectErrorStream(true)
        builder.redirectOutput(
            logs?.let { ProcessBuilder.Redirect.appendTo(File(it, "router-$number.log")) }
                ?: ProcessBuilder.Redirect.DISCARD,
        )
        processes[number] = builder.start()
    }

    private fun command(number: Int): List<String> = listOf(
        File(System.getProperty("java.home"), "bin/java").path,
        HEAP,
        "-cp",
        System.getProperty("java.class.path"),
        ROUTER_CLASS,
        "--caller-address",
        callerAddress(number),
        "--operators-address",
        operatorsAddress(number),
        "--peer-address",
        peerAddress(number),
        "--zone",
        zones[number - 1],
        "--region",
        region,
        "--store",
        storeAddress,
        "--vm-list",
        listAddress,
    )

    private fun signal(signal: String, number: Int) {
        val process = ProcessBuilder("kill", signal, processes.getValue(number).pid().toString()).start()
        check(process.waitFor() == 0) { "router $number could not be sent the signal $signal" }
    }

    private fun address(port: Int, number: Int): String = "127.0.0.1:${port + number}"

    private companion object {
        const val CALLER_PORT = 19_000
        const val OPERATORS_PORT = 19_100
        const val PEER_PORT = 19_200
        const val HEAP = "-Xmx160m"
        const val ROUTER_CLASS = "org.cicadaarch.router.MainKt"
        const val END_SECONDS = 5L
    }
}
