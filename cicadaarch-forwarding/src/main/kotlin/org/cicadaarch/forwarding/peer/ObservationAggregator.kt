package org.cicadaarch.forwarding.peer

import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.dispatch.observation.ObservationReport
import org.cicadaarch.dispatch.observation.ObservationScope
import org.cicadaarch.dispatch.observation.ObservationSummary
import org.cicadaarch.dispatch.observation.SharedObservations
import org.cicadaarch.forwarding.TaskScheduler
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.Timestamp

/**
 * Merges what routers observe of targets and prompts, while this router does so on behalf of others.
 *
 * Every [INTERVAL] it makes new summaries, and uses that of the whole fleet in its own [dispatch]. [onRise] is called
 * when the demand for a prompt has risen so far that routers which wait for a summary of the scope should get it at
 * once.
 */
internal class ObservationAggregator(
    private val self: RouterAddress,
    private val dispatch: ObservedDispatch,
    private val scheduler: TaskScheduler,
    imbalanceFactor: Double,
) {
    private val initial = SharedObservations(imbalanceFactor)
    private var shared = initial
    private val summaries = HashMap<ObservationScope, ObservationSummary>()
    private var summariesMadeAt = Timestamp(0)
    private val levels = mapOf(
        ObservationScope.FIRSTHAND to DemandLevels(minimum = FIRSTHAND_RISE),
        ObservationScope.FLEET to DemandLevels(minimum = FLEET_RISE),
    )
    private val capacityLog = CapacityLog()
    private var tickedAt = Timestamp(0)
    private var cancelTick: (() -> Unit)? = null
    var onRise: (ObservationScope) -> Unit = {}

    /** Whether this router merges observations. */
    val isActive: Boolean get() = cancelTick != null

    /** Starts or stops to merge observations. */
    fun setActive(isActiveNow: Boolean) {
        if (isActiveNow == isActive) return
        if (isActiveNow) {
            scheduleTick()
        } else {
            cancelTick?.invoke()
            cancelTick = null
            shared = initial
            summaries.clear()
        }
    }

    /**
     * Adds a [report] of the router [reporter], unless this one was paused until now: then the report may have waited
     * for as long, which its ages do not tell.
     */
    fun receive(report: ObservationReport, reporter: RouterAddress?) {
        if (isActive && !wasPaused()) shared = shared.withReport(report, scheduler.now(), reporter)
    }

    /** Adds the firsthand [summary] of [router], which merges observations too. */
    fun receive(router: RouterAddress, summary: ObservationSummary) {
        if (isActive) shared = shared.withSummary(router, summary, scheduler.now())
    }

    /** The latest summary of [scope], or null if this router does not merge observations. */
    fun summary(scope: ObservationScope): ObservationSummary? =
        summaries[scope]?.aged(scheduler.now() - summariesMadeAt)

    private fun wasPaused(): Boolean = scheduler.now() - tickedAt > INTERVAL + MAX_LATENESS

    private fun scheduleTick() {
        tickedAt = scheduler.now()
        cancelTick = scheduler.schedule(INTERVAL) {
            scheduleTick()
            tick()
        }
    }

    private fun tick() {
        val now = scheduler.now()
        shared = shared.withReport(dispatch.takeReport(), now, self).pruned(now)
        val targets = dispatch.targetEntries
        shared = shared.withEstimates(targets, now)
        ObservationScope.entries.forEach { summaries[it] = shared.summary(it, targets, now) }
        summariesMadeAt = now
        capacityLog.update(shared.capacities)
        dispatch.apply(summaries.getValue(ObservationScope.FLEET))
        levels.forEach { (scope, level) ->
            if (level.haveRisen(summaries.getValue(scope).demands)) {
                logRise(scope)
                onRise(scope)
            }
        }
    }

    private fun logRise(scope: ObservationScope) {
        if (scope != ObservationScope.FLEET) return
        LogEvents.info("prompt-demand") {
            summaries.getValue(scope).demands.entries.take(MAX_LOGGED).forEach { (prompt, demand) ->
                prompt.toString() to demand
            }
        }
    }

    companion object {
        /** Also the shortest pause between two early responses to the same router. */
        val INTERVAL = 150.milliseconds

        /** A task that runs so late shows that the process was paused or its event loop busy. */
        private val MAX_LATENESS = 250.milliseconds

        /** At one of several routers that merge: two requests or so for one prompt within a second. */
        private const val FIRSTHAND_RISE = 2.0
        private const val FLEET_RISE = 6.0
        private const val MAX_LOGGED = 4
    }
}
