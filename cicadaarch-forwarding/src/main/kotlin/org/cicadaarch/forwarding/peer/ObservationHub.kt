package org.cicadaarch.forwarding.peer

import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.dispatch.observation.ObservationDigest
import org.cicadaarch.dispatch.observation.ObservationReport
import org.cicadaarch.dispatch.observation.ObservationScope
import org.cicadaarch.dispatch.observation.SharedObservations
import org.cicadaarch.forwarding.TaskScheduler
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.Timestamp

/**
 * Merges what routers observe of targets and prompts, while this router does so on behalf of others.
 *
 * Every [INTERVAL] it makes new digests, and uses that of the whole fleet in its own [dispatch]. [onRise] is called when
 * the demand for a prompt has risen so far that routers which wait for a digest of the scope should get it at once.
 */
internal class ObservationHub(
    private val dispatch: ObservedDispatch,
    private val scheduler: TaskScheduler,
    imbalanceFactor: Double,
) {
    private val initial = SharedObservations(imbalanceFactor)
    private var shared = initial
    private val digests = HashMap<ObservationScope, ObservationDigest>()
    private var digestsMadeAt = Timestamp(0)
    private val levels = mapOf(
        ObservationScope.FIRSTHAND to DemandLevels(minimum = FIRSTHAND_RISE),
        ObservationScope.FLEET to DemandLevels(minimum = FLEET_RISE),
    )
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
            digests.clear()
        }
    }

    /** Adds a [report] of another router. */
    fun receive(report: ObservationReport) {
        if (isActive) shared = shared.withReport(report, scheduler.now())
    }

    /** Adds the firsthand [digest] of [router], which merges observations too. */
    fun receive(router: RouterAddress, digest: ObservationDigest) {
        if (isActive) shared = shared.withDigest(router, digest, scheduler.now())
    }

    /** The latest digest of [scope], or null if this router does not merge observations. */
    fun digest(scope: ObservationScope): ObservationDigest? = digests[scope]?.aged(scheduler.now() - digestsMadeAt)

    private fun scheduleTick() {
        cancelTick = scheduler.schedule(INTERVAL) {
            scheduleTick()
            tick()
        }
    }

    private fun tick() {
        val now = scheduler.now()
        shared = shared.withReport(dispatch.takeReport(), now).pruned(now)
        val targets = dispatch.targetEntries
        ObservationScope.entries.forEach { digests[it] = shared.digest(it, targets, now) }
        digestsMadeAt = now
        dispatch.apply(digests.getValue(ObservationScope.FLEET))
        levels.forEach { (scope, level) ->
            if (level.haveRisen(digests.getValue(scope).demands)) {
                logRise(scope)
                onRise(scope)
            }
        }
    }

    private fun logRise(scope: ObservationScope) {
        if (scope != ObservationScope.FLEET) return
        LogEvents.info("prompt-demand") {
            digests.getValue(scope).demands.entries.take(MAX_LOGGED).forEach { (prompt, demand) ->
                prompt.toString() to demand
            }
        }
    }

    private companion object {
        /** Also the shortest pause between two early responses to the same router. */
        val INTERVAL = 150.milliseconds

        /** At one of several routers that merge: two requests or so for one prompt within a second. */
        const val FIRSTHAND_RISE = 2.0
        const val FLEET_RISE = 6.0
        const val MAX_LOGGED = 4
    }
}
