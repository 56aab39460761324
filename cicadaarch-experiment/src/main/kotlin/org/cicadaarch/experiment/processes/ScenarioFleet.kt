package org.cicadaarch.experiment.processes

import java.io.File
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.cicadaarch.experiment.demonstration.ControlClient
import org.cicadaarch.experiment.demonstration.DemonstrationFleet
import org.cicadaarch.experiment.demonstration.Deployment
import org.cicadaarch.experiment.demonstration.FleetEditor
import org.cicadaarch.experiment.demonstration.StandInsExperiment
import org.cicadaarch.experiment.demonstration.TargetStandIns
import org.cicadaarch.model.PresetName
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.fleet.ServiceKind
import org.cicadaarch.testkit.StoreFault
import org.cicadaarch.testkit.StoreStandIn
import org.cicadaarch.testkit.TargetFault
import org.cicadaarch.testkit.VirtualMachineListStandIn
import org.cicadaarch.testkit.oracle.TargetLog
import org.cicadaarch.testkit.scenario.ProcessName

/**
 * Everything that a scenario runs on: stand-ins of the platform and the targets in this process, and seven routers.
 */
internal class ScenarioFleet(documents: List<String>, logs: File?) : AutoCloseable {
    private val fleet = moved(DemonstrationFleet.read(documents))
    private val zones = fleet.regions.values.first().map { it.value }
    private val store = StoreStandIn(STORE_PORT, STORE_PORT + StandInsExperiment.CONTROL_PORT_OFFSET)
    private val list = VirtualMachineListStandIn(
        LIST_PORT,
        LIST_PORT + StandInsExperiment.CONTROL_PORT_OFFSET,
        LIST_LAG_MILLISECONDS.milliseconds,
    )
    private val control = ControlClient()
    private val editor = FleetEditor("127.0.0.1:$STORE_PORT")
    private var document = fleet

    /** What callers may address. */
    val deployments: List<Deployment> = documents.map { Deployment.of(DemonstrationFleet.read(listOf(it))) }

    /** The router processes. */
    val routers = RouterProcesses(
        zones = List(ROUTERS) { zones[it % zones.size] },
        region = fleet.regions.keys.first().value,
        storeAddress = "127.0.0.1:$STORE_PORT",
        listAddress = "127.0.0.1:$LIST_PORT",
        logs = logs,
    )

    /** Starts the targets and all routers, and waits until each router knows the configuration and all others. */
    fun start() {
        Runtime.getRuntime().addShutdownHook(Thread(routers::close))
        TargetStandIns.start(fleet, DECODE_INTERVAL_MILLISECONDS)
        val entries = routers.numbers.joinToString(separator = ",", prefix = "[", postfix = "]") {
            """{"address":"${routers.peerAddress(it)}","zone":"${zones.first()}","state":"live"}"""
        }
        control.setVirtualMachines("127.0.0.1:$LIST_PORT", entries)
        editor.write(document)
        routers.numbers.forEach(routers::start)
        val deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_SECONDS)
        while (!routers.numbers.all(::knowsFleet)) {
            check(System.nanoTime() < deadline) { "the routers are not ready after $READY_SECONDS s" }
            Thread.sleep(POLL_MILLISECONDS)
        }
    }

    /** Puts the store under [fault]. */
    fun faultStore(fault: StoreFault) = control.setFault("127.0.0.1:${store.controlPort}", Json.encodeToString(fault))

    /** Puts an engine or service process under [fault]; they are numbered in the documents' order. */
    fun faultTarget(process: ProcessName, fault: TargetFault) {
        val kind = if (process.kind == ProcessName.Kind.ENGINE) ServiceKind.MODEL else ServiceKind.PLAIN
        val targets = fleet.targets.values.filter { fleet.services.getValue(it.service).kind == kind }
        control.setFault(targets[process.number - 1], fault)
    }

    /** Makes [preset] the active one. */
    fun switchPreset(preset: String) {
        document = document.copy(activePreset = PresetName(preset))
        editor.write(document)
    }

    /** What every target ran. */
    fun logs(): List<TargetLog> = fleet.targets.map { (id, target) -> TargetLog(id, control.runs(target)) }

    /** The name of the service that [target] belongs to. */
    fun serviceOf(target: TargetId): String = fleet.targets.getValue(target).service.value

    override fun close() {
        routers.close()
        editor.close()
        list.close()
        store.close()
    }

    private fun knowsFleet(number: Int): Boolean {
        val operators = routers.operatorsAddress(number)
        if (!control.isReady(operators)) return false
        val status = control.status(operators).orEmpty()
        return routers.numbers.all { routers.peerAddress(it) in status }
    }

    private companion object {
        const val ROUTERS = 7
        const val STORE_PORT = 19_801
        const val LIST_PORT = 19_802
        const val FIRST_TARGET_PORT = 19_501
        const val LIST_LAG_MILLISECONDS = 1_000
        const val DECODE_INTERVAL_MILLISECONDS = 10
        const val READY_SECONDS = 40L
        const val POLL_MILLISECONDS = 200L

        /** [fleet] with its targets on the ports of scenarios. */
        fun moved(fleet: FleetDocument): FleetDocument = fleet.copy(
            targets = fleet.targets.entries.withIndex().associate { (index, entry) ->
                entry.key to entry.value.copy(address = "127.0.0.1:${FIRST_TARGET_PORT + index}")
            },
        )
    }
}
