package org.cicadaarch.forwarding.fleet

import kotlin.time.Duration
import kotlin.time.DurationUnit
import org.cicadaarch.forwarding.observation.ForwardingMetrics
import org.cicadaarch.store.StoreEra

/**
 * Gauges of what a router knows of the store, by prefix where its watches differ.
 */
internal class StoreGauges(
    private val metrics: ForwardingMetrics,
    private val prefixWatchers: Map<String, PrefixWatcher>,
    private val storeEra: StoreEra,
) {
    /** Registers the gauges with the metrics. */
    fun register() {
        registerEra()
        register(
            name = "cicadaarch_store_revision",
            help = "The store's revision that is known, by prefix.",
        ) { it.state.version.revision.toDouble() }
        register(
            name = "cicadaarch_store_failures",
            help = "Calls that failed since the last good one, by prefix.",
        ) { it.state.failures.toDouble() }
        register(
            name = "cicadaarch_store_answer_age_seconds",
            help = "Time since the store last answered this router's watch, by prefix; absent before the first answer.",
        ) { it.answerAge?.inSeconds() }
        register(
            name = "cicadaarch_store_values_age_seconds",
            help = "Time since the values were known to be current, from the store or another router, by prefix.",
        ) { it.valuesAge?.inSeconds() }
    }

    /** An era of values that is below the known one tells that the values have not been read since. */
    private fun registerEra() = metrics.registerGauge(
        name = "cicadaarch_store_era",
        help = "The store's era that is known, that of the values by prefix, and the restorations seen.",
        label = "value",
    ) {
        val known = mapOf("known" to storeEra.current, "restorations" to storeEra.restorations.toLong())
        val byPrefix = prefixWatchers.mapValues { it.value.state.version.era }
        (known + byPrefix).mapValues { it.value.toDouble() }
    }

    /** Registers a gauge that [read] provides, where it is not null. */
    private fun register(name: String, help: String, read: (PrefixWatcher) -> Double?) =
        metrics.registerGauge(name, help, label = "prefix") {
            prefixWatchers.mapNotNull { (prefix, watcher) -> read(watcher)?.let { prefix to it } }.toMap()
        }

    private fun Duration.inSeconds(): Double = toDouble(DurationUnit.SECONDS)
}
