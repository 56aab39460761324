package org.cicadaarch.experiment.ledger

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.cicadaarch.experiment.Experiment

/**
 * Compares ways of writing claims of idempotency keys: calls to the store, added wait and bytes.
 */
class LedgerExperiment : Experiment {
    override val name = "ledger"

    override val summary = "store calls, added wait and bytes of the ledger, in virtual time"

    override fun run(arguments: List<String>): Int {
        val parser = ArgParser("experiment ledger")
        val seed by parser.option(ArgType.Int, description = "seed of arrivals and delays").default(1)
        val seconds by parser.option(ArgType.Int, description = "virtual seconds of load").default(60)
        parser.parse(arguments.toTypedArray())
        println("seed=$seed seconds=$seconds")
        println(HEADER)
        for (routers in listOf(7, 360)) {
            for (rate in listOf(10, 100, 1_000)) {
                LedgerPolicy.entries.forEach { println(row(it, routers, rate, seconds, seed.toLong())) }
            }
        }
        return 0
    }

    private fun row(policy: LedgerPolicy, routers: Int, rate: Int, seconds: Int, seed: Long): String {
        val simulation = LedgerSimulation(policy, routers, rate, seconds, seed)
        simulation.run()
        val store = simulation.store
        val requests = (simulation.waits.totalCount + simulation.refused).toDouble()
        return "| %d | %d | %s | %d | %d | %.2f | %.3f | %.1f | %.1f | %.0f | %.0f | %.1f |".format(
            routers,
            rate,
            policy.label,
            simulation.waits.totalCount,
            simulation.refused,
            store.writes / requests,
            store.reads / requests,
            simulation.waits.getValueAtPercentile(MEDIAN) / MICROSECONDS_PER_MILLISECOND,
            simulation.waits.getValueAtPercentile(TAIL) / MICROSECONDS_PER_MILLISECOND,
            store.writtenBytes / requests,
            store.storedBytes / requests,
            simulation.messages / requests,
        )
    }

    private companion object {
        const val MEDIAN = 50.0
        const val TAIL = 99.0
        const val MICROSECONDS_PER_MILLISECOND = 1_000.0
        const val HEADER = "| routers | claims/s | policy | granted | refused | writes/request | reads/request | " +
            "wait p50 ms | wait p99 ms | written B/request | stored B/request | messages/request |"
    }
}
