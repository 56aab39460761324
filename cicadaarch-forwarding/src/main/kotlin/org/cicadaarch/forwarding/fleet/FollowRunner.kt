package org.cicadaarch.forwarding.fleet

import io.netty.channel.EventLoop
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import org.cicadaarch.dispatch.follow.FollowEffect
import org.cicadaarch.dispatch.follow.FollowEvent
import org.cicadaarch.dispatch.follow.FollowReducer
import org.cicadaarch.dispatch.follow.FollowState
import org.cicadaarch.dispatch.follow.KnownChanges
import org.cicadaarch.forwarding.EventLoopClock
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.store.Store

/**
 * Follows the values below [prefix] and gives every change to [onChange], on [eventLoop].
 */
internal class FollowRunner(
    private val prefix: String,
    settleTime: Duration,
    shortestOutage: Duration,
    private val store: Store,
    private val eventLoop: EventLoop,
    private val onChange: (Map<String, String>) -> Unit,
) {
    private val reducer = FollowReducer(prefix, settleTime, shortestOutage)

    /** What is known of the prefix. */
    var state = FollowState()
        private set
    private var timer: ScheduledFuture<*>? = null

    /** Told after each change of the revision. */
    var onRevision: () -> Unit = {}

    /** Starts to follow. */
    fun start() = submit(FollowEvent.Started)

    /** Takes over what another router knows, if that is newer. */
    fun relay(changes: KnownChanges) {
        if (changes.revision > state.revision) {
            LogEvents.info("values-relayed") {
                "prefix" to prefix
                "revision" to changes.revision
                "before" to state.revision
                "since" to changes.since
            }
        }
        submit(FollowEvent.Relayed(changes))
    }

    /** Makes calls of the store, or leaves them to other routers. */
    fun callStore(isWanted: Boolean) {
        val isDelegated = state.phase is FollowState.Phase.Delegated
        if (isWanted == isDelegated) submit(if (isWanted) FollowEvent.Resumed else FollowEvent.Delegated)
    }

    private fun submit(event: FollowEvent) {
        val step = reducer.reduce(state, event, EventLoopClock.now())
        val before = state.revision
        state = step.state
        step.effects.forEach { carryOut(it) }
        schedule()
        if (state.revision > before) onRevision()
    }

    private fun carryOut(effect: FollowEffect) {
        when (effect) {
            is FollowEffect.Call -> store.execute(effect.command) { result ->
                eventLoop.execute { submit(FollowEvent.Answered(effect.call, result)) }
            }

            is FollowEffect.Changed -> onChange(effect.values)

            is FollowEffect.StoreLost -> LogEvents.warn("store-lost") {
                "prefix" to prefix
                "revision" to state.revision
                "reason" to effect.reason
            }

            FollowEffect.StoreRegained -> LogEvents.info("store-regained") {
                "prefix" to prefix
                "revision" to state.revision
            }
        }
    }

    private fun schedule() {
        timer?.cancel(false)
        val next = reducer.nextTick(state) ?: return
        val delay = (next - EventLoopClock.now()).inWholeMilliseconds.coerceAtLeast(0) + 1
        timer = eventLoop.schedule({ submit(FollowEvent.Tick) }, delay, TimeUnit.MILLISECONDS)
    }
}
