package org.cicadaarch.experiment.demonstration

import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.fleet.ServiceKind
import org.cicadaarch.testkit.EngineOptions
import org.cicadaarch.testkit.EngineStandIn
import org.cicadaarch.testkit.PlainServiceOptions
import org.cicadaarch.testkit.PlainServiceStandIn

/**
 * Stand-ins of a fleet document's targets, on the addresses that the document gives.
 */
internal object TargetStandIns {
    /** Starts all targets of [fleet]; engines take [decodeInterval] milliseconds per token. */
    fun start(fleet: FleetDocument, decodeInterval: Int) = fleet.targets.values.forEach { target ->
        val port = target.address.substringAfterLast(':').toInt()
        when (fleet.services.getValue(target.service).kind) {
            ServiceKind.MODEL -> EngineStandIn(
                port = port,
                controlPort = port + StandInsExperiment.CONTROL_PORT_OFFSET,
                options = EngineOptions(
                    slots = target.capacity,
                    decodeInterval = decodeInterval.milliseconds,
                    loadLag = LOAD_LAG_MILLISECONDS.milliseconds,
                    checksFencing = target.checksFencing,
                ),
            )

            ServiceKind.PLAIN -> PlainServiceStandIn(
                port = port,
                controlPort = port + StandInsExperiment.CONTROL_PORT_OFFSET,
                options = PlainServiceOptions(
                    service = target.service.value,
                    answerDelay = PLAIN_ANSWER_MILLISECONDS.milliseconds,
                    deduplicates = target.deduplicates,
                ),
            )
        }
    }

    private const val PLAIN_ANSWER_MILLISECONDS = 30
    private const val LOAD_LAG_MILLISECONDS = 200
}
