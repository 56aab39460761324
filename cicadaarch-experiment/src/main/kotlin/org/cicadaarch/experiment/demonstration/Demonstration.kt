package org.cicadaarch.experiment.demonstration

import java.util.concurrent.TimeUnit
import org.cicadaarch.model.Outcome
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.fleet.ServiceKind

/**
 * One demonstration on running routers: load, an engine that joins, one that leaves, and the table at the end.
 */
internal class Demonstration(
    private val fleet: FleetDocument,
    deployments: List<Deployment>,
    private val callerAddresses: List<String>,
    private val operatorAddresses: List<String>,
    private val peerAddresses: List<String>,
    private val editor: FleetEditor,
    private val listAddress: String,
    seed: Long,
) {
    private val control = ControlClient()
    private val joiner = engines().last()
    private val leaver = engines().first()

    @Volatile
    private var document = DemonstrationFleet.without(fleet, joiner)

    @Volatile
    private var routers = callerAddresses
    private val callers = Callers(deployments, routers = { routers }, seed = seed)
    private val sampler = SkewSampler(fleet = { document }, control = control)

    /** Runs [chats] chats of [turns] turns; returns 0 when no promise was broken, 1 otherwise. */
    fun run(chats: Int, turns: Int): Int {
        prepare()
        val bytesBefore = operatorAddresses.associateWith(control::controlBytes)
        val begun = System.nanoTime()
        callers.start(chats, turns, PAUSE_MILLISECONDS)
        sampler.start()
        val done = follow(begun)
        val seconds = secondsSince(begun)
        val bytes = controlBytes(bytesBefore, seconds)
        sampler.close()
        val report = DemonstrationReport(
            operations = callers.ended.toList(),
            stillOpen = if (done) 0 else callers.openOperations,
            runs = fleet.targets.values.flatMap(control::runs),
            skew = sampler.means(),
            controlBytesPerSecond = bytes,
        )
        report.print()
        editor.close()
        val broken = report.doubled + report.lost + report.falselyRefused + report.notWhole
        return if (broken == 0) 0 else 1
    }

    private fun engines(): List<TargetId> =
        fleet.targets.filterValues { fleet.services.getValue(it.service).kind == ServiceKind.MODEL }.keys.toList()

    private fun prepare() {
        val entries = peerAddresses.joinToString(separator = ",", prefix = "[", postfix = "]") {
            """{"address":"$it","zone":"${fleet.regions.values.first().first()}","state":"live"}"""
        }
        control.setVirtualMachines(listAddress, entries)
        editor.write(document)
        val deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_SECONDS)
        while (!operatorAddresses.all(::knowsFleet)) {
            check(System.nanoTime() < deadline) { "the routers are not ready after $READY_SECONDS s" }
            Thread.sleep(POLL_MILLISECONDS)
        }
    }

    private fun knowsFleet(operators: String): Boolean =
        control.isReady(operators) && peerAddresses.all { it in control.status(operators).orEmpty() }

    private fun follow(begun: Long): Boolean {
        var joined = false
        var left = false
        while (!callers.await(1)) {
            val seconds = secondsSince(begun)
            if (seconds >= JOIN_SECONDS && !joined) {
                joined = true
                change("engine $joiner joins", fleet)
            }
            if (seconds >= LEAVE_SECONDS && !left) {
                left = true
                change(
                    "engine $leaver leaves",
                    DemonstrationFleet.withChanged(fleet, leaver) {
                        it.copy(leaving = true)
                    },
                )
            }
            routers = callerAddresses.filterIndexed { index, _ -> control.isReady(operatorAddresses[index]) }
                .ifEmpty { callerAddresses }
            progress(seconds)
            if (seconds > LONGEST_SECONDS) return false
        }
        return true
    }

    private fun change(what: String, changed: FleetDocument) {
        println("event=change what=\"$what\"")
        document = changed
        editor.write(changed)
    }

    private fun progress(seconds: Double) {
        val ended = callers.ended
        println(
            "t=%.0fs routers=%d ended=%d whole=%d refused=%d open=%d".format(
                seconds,
                routers.size,
                ended.size,
                ended.count { it.outcome == Outcome.COMPLETED && it.isWhole },
                ended.count { it.outcome == Outcome.NOT_RUN },
                callers.openOperations,
            ),
        )
    }

    private fun controlBytes(before: Map<String, Map<String, Double>>, seconds: Double): Map<String, Double> {
        val alive = operatorAddresses.filter(control::isReady)
        val grown = alive.flatMap { operators ->
            control.controlBytes(operators).map { (kind, bytes) ->
                kind to bytes - (before[operators]?.get(kind) ?: 0.0)
            }
        }
        return grown.groupBy({ it.first }, { it.second }).mapValues { it.value.sum() / alive.size / seconds }
    }

    private fun secondsSince(begun: Long): Double = (System.nanoTime() - begun) / NANOSECONDS_PER_SECOND

    private companion object {
        const val PAUSE_MILLISECONDS = 6_000L
        const val READY_SECONDS = 30L
        const val POLL_MILLISECONDS = 200L
        const val JOIN_SECONDS = 10.0
        const val LEAVE_SECONDS = 20.0
        const val LONGEST_SECONDS = 80.0
        const val NANOSECONDS_PER_SECOND = 1e9
    }
}
