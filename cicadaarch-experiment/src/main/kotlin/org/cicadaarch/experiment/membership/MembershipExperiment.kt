package org.cicadaarch.experiment.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.cicadaarch.experiment.Experiment
import org.cicadaarch.membership.MembershipReducer
import org.cicadaarch.membership.MembershipSettings

/**
 * Measures how fast and at what cost the views of a fleet follow faults, in virtual time.
 */
class MembershipExperiment : Experiment {
    override val name: String = "membership"
    private val defaults = MembershipSettings()
    private var settings = defaults

    override val summary: String = "times, false removals and cost of the list of live routers, against two baselines"

    override fun run(arguments: List<String>): Int {
        val parser = ArgParser(name)
        val routers by parser.option(ArgType.String, description = "fleet sizes").default("7,60,360")
        val scenarios by parser.option(ArgType.String, description = "scenarios, or all").default("all")
        val seeds by parser.option(ArgType.String, description = "seeds").default("1,2,3")
        val protocols by parser.option(ArgType.String, description = "protocols, or all").default("probing")
        val probePeriod by parser.option(ArgType.Int, description = "probe period, in milliseconds")
            .default(defaults.probePeriod.inWholeMilliseconds.toInt())
        val suspicionMultiplier by parser.option(ArgType.Double, description = "suspicion multiplier")
            .default(defaults.suspicionMultiplier)
        val helpers by parser.option(ArgType.Int, description = "helpers of a probe").default(defaults.helpers)
        val gossipPeriod by parser.option(ArgType.Int, description = "gossip period, in milliseconds")
            .default(defaults.gossipPeriod.inWholeMilliseconds.toInt())
        parser.parse(arguments.toTypedArray())
        settings = defaults.copy(
            probePeriod = probePeriod.milliseconds,
            suspicionMultiplier = suspicionMultiplier,
            helpers = helpers,
            gossipPeriod = gossipPeriod.milliseconds,
        )
        println(HEADER)
        routers.split(',').map { it.toInt() }.forEach { size ->
            chosen(protocols, MembershipProtocol.entries).forEach { protocol ->
                val chosenScenarios = chosen(scenarios, FleetScenario.entries)
                printRows(protocol, size, chosenScenarios, seeds.split(',').map { it.toLong() })
            }
        }
        return 0
    }

    private fun printRows(protocol: MembershipProtocol, size: Int, scenarios: List<FleetScenario>, seeds: List<Long>) =
        scenarios.forEach { scenario -> seeds.forEach { println(row(protocol, size, scenario, it)) } }

    private fun <T : Enum<T>> chosen(names: String, entries: List<T>): List<T> =
        if (names == "all") entries else names.split(',').map { name -> entries.first { it.name.equals(name, true) } }

    private fun row(protocol: MembershipProtocol, size: Int, scenario: FleetScenario, seed: Long): String {
        val layout = FleetLayout(
            size,
            zones = if (size <
                TARGET_SIZE
            ) {
                4
            } else {
                11
            },
            regions = if (size < TARGET_SIZE) 2 else 3,
        )
        val result = when (protocol) {
            MembershipProtocol.PROBING -> ScenarioRunner { probing(layout, seed) }.run(scenario)
            MembershipProtocol.LIST -> ScenarioRunner { listOnly(layout, seed) }.run(scenario)
            MembershipProtocol.HEARTBEAT -> ScenarioRunner { heartbeat(layout, seed) }.run(scenario)
        }
        return formatted(protocol, size, scenario, seed, result)
    }

    private fun probing(layout: FleetLayout, seed: Long) = SimulatedFleet(layout, seed) { info, now ->
        ProbingNode(info, MembershipReducer(settings.copy(seed = seed)), now)
    }

    private fun listOnly(layout: FleetLayout, seed: Long): SimulatedFleet<Unit> {
        lateinit var fleet: SimulatedFleet<Unit>
        fleet = SimulatedFleet(layout, seed) { info, _ ->
            ListNode(info, period = LIST_PERIOD) { address -> fleet.runningAt(address) }
        }
        return fleet
    }

    private fun heartbeat(layout: FleetLayout, seed: Long) = SimulatedFleet(layout, seed) { info, _ ->
        HeartbeatNode(info, period = 1.seconds, timeout = 4.seconds, listPeriod = LIST_PERIOD)
    }

    private fun formatted(
        protocol: MembershipProtocol,
        size: Int,
        scenario: FleetScenario,
        seed: Long,
        result: ScenarioResult,
    ): String = listOf(
        protocol.name.lowercase(),
        size,
        scenario.name.lowercase(),
        seed,
        seconds(result.joined),
        seconds(result.first),
        seconds(result.median),
        seconds(result.all),
        seconds(result.recovered),
        result.falseRemovals,
        result.removals,
        "%.0f".format(result.bytesPerSecond),
        "%.1f".format(result.messagesPerSecond),
        result.greatestDatagram,
        "%.1f".format(result.listReadsPerMinute),
        "%.0f".format(result.microsecondsPerTick),
        result.stateBytes,
    ).joinToString(" ") { it.toString().padStart(COLUMN_WIDTH) }

    private fun seconds(duration: Duration?): String = duration?.toString(DurationUnit.SECONDS, decimals = 1) ?: "-"

    private companion object {
        const val TARGET_SIZE = 360
        const val COLUMN_WIDTH = 11
        val LIST_PERIOD = 10.seconds
        val HEADER = listOf(
            "protocol",
            "routers",
            "scenario",
            "seed",
            "joined",
            "first",
            "median",
            "all",
            "recovered",
            "false",
            "removals",
            "bytes/s",
            "messages/s",
            "greatest",
            "lists/min",
            "us/tick",
            "state",
        ).joinToString(" ") { it.padStart(COLUMN_WIDTH) }
    }
}
