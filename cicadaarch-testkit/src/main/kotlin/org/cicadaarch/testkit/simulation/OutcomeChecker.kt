package org.cicadaarch.testkit.simulation

import org.cicadaarch.model.Idempotency
import org.cicadaarch.model.Outcome
import org.cicadaarch.model.RequestId

/**
 * Compares what callers were told with what targets ran. Each violation is one line.
 */
object OutcomeChecker {
    /** The violations in [simulation]; [allEnded] also asks that each request at a live router has ended. */
    fun violations(simulation: FleetSimulation, allEnded: Boolean): List<String> =
        simulation.requests.values.flatMap { request ->
            val starts = simulation.starts(request.head.id)
            listOfNotNull(
                "told ${request.endings} outcomes".takeIf { request.endings > 1 },
                "ran $starts times though not idempotent".takeIf {
                    starts > 1 && request.head.idempotency != Idempotency.Idempotent
                },
                "told not-run but ran $starts times".takeIf { request.outcome == Outcome.NOT_RUN && starts > 0 },
                "told completed but never ran".takeIf { request.outcome == Outcome.COMPLETED && starts == 0 },
                "never ended".takeIf {
                    allEnded && request.outcome == null && request.ingress in simulation.liveRouters
                },
            ).map { "${request.head.id}: $it" }
        } + keyViolations(simulation)

    private fun keyViolations(simulation: FleetSimulation): List<String> = simulation.requests.values
        .groupBy { (it.head.idempotency as? Idempotency.Keyed)?.key }
        .mapNotNull { (key, requests) ->
            val starts = requests.sumOf { simulation.starts(it.head.id) }
            "key $key ran $starts times".takeIf { key != null && starts > 1 }
        }

    /** How many of the requests [ids] ended with [outcome]. */
    fun count(simulation: FleetSimulation, ids: Collection<RequestId>, outcome: Outcome): Int =
        ids.count { simulation.requests[it]?.outcome == outcome }
}
