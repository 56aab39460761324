package org.cicadaarch.experiment.demonstration

import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.fleet.ServiceKind

/**
 * Samples the engines' reported load twice a second: the highest load of a model's engines over their mean.
 */
internal class SkewSampler(private val fleet: () -> FleetDocument, private val control: ControlClient) : AutoCloseable {
    private val timer = Executors.newSingleThreadScheduledExecutor { Thread(it).apply { isDaemon = true } }
    private val samples = mutableMapOf<ServiceName, MutableList<Double>>()

    /** Starts sampling. */
    fun start() {
        timer.scheduleWithFixedDelay(::sample, INTERVAL_MILLISECONDS, INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    /** The mean skew of each model over the samples in which its engines had one request each on average. */
    fun means(): Map<ServiceName, Double> = synchronized(samples) { samples.mapValues { it.value.average() } }

    override fun close() = timer.shutdown()

    private fun sample() {
        val document = fleet()
        document.services.filterValues { it.kind == ServiceKind.MODEL }.keys.forEach { service ->
            val loads = document.targetsOf(service)
                .filterValues { !it.leaving }
                .mapNotNull { control.load(it.value) }
                .map { (it.running + it.waiting).toDouble() }
            val mean = loads.average()
            if (loads.isNotEmpty() && mean >= 1.0) {
                synchronized(samples) { samples.getOrPut(service) { mutableListOf() } += loads.max() / mean }
            }
        }
    }

    private companion object {
        const val INTERVAL_MILLISECONDS = 500L
    }
}
