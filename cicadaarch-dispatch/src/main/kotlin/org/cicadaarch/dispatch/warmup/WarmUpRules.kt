package org.cicadaarch.dispatch.warmup

import kotlin.time.Duration
import net.openhft.hashing.LongHashFunction
import org.cicadaarch.dispatch.target.TargetEntry
import org.cicadaarch.dispatch.target.TargetState
import org.cicadaarch.model.Timestamp

/**
 * What the targets of a service with [limit] may get at [now] while they warm up and after that.
 *
 * In any second, a target that warms up gets at most [requestsPerSecond] from the whole fleet. [routerSeed] differs
 * between routers, so that they do not send at the same time.
 */
class WarmUpRules(
    private val limit: WarmUpLimit,
    private val requestsPerSecond: Double,
    private val routerSeed: Long,
    private val now: Timestamp,
) {
    private val windows by lazy(LazyThreadSafetyMode.NONE) { SendWindows(requestsPerSecond) }

    /** Whether [target] warms up. */
    fun isWarmingUp(target: TargetState): Boolean = target.warmUp?.isActive(now) == true

    /** How much longer [target] warms up; null if it does not. */
    fun remaining(target: TargetState): Duration? = target.warmUp?.takeIf { it.isActive(now) }?.let { it.endsAt - now }

    /** Whether this router may send a request to [target], which warms up. */
    fun mayUseWarming(target: TargetState): Boolean =
        windows.isOpen(phase(target.entry), target.warmUp?.lastSentAt, now)

    /** When [target], which warms up, may get another request of this router, or has warmed up. */
    fun nextChance(target: TargetState): Timestamp? =
        target.warmUp?.let { minOf(it.endsAt, windows.nextOpening(phase(target.entry), now)) }

    /**
     * Whether one of [candidates] may serve [key]: a prompt, or a request without one. After a target's warm-up the
     * share of keys for which that holds grows from 0 to 1, at all routers alike. If none of [candidates] has its whole
     * share, all may serve any key, as there is nothing to relieve them.
     */
    fun servesAmong(candidates: Collection<TargetState>, key: String): (TargetState) -> Boolean {
        if (candidates.none { servedShare(it) >= 1.0 }) return { true }
        return { target ->
            val share = servedShare(target)
            share >= 1.0 || fraction(RAMP_HASH.hashChars("${target.entry.id}/$key")) < share
        }
    }

    private fun servedShare(target: TargetState): Double = target.warmUp?.servedShare(limit.duration, now) ?: 1.0

    /** Differs by process, since a fixed one would leave a target without requests at the same routers each time. */
    private fun phase(entry: TargetEntry): Double =
        fraction(PHASE_HASH.hashChars("$routerSeed/${entry.id}/${entry.startedAtMillis}"))

    private fun fraction(hash: Long): Double = (hash ushr (Long.SIZE_BITS - FRACTION_BITS)) * UNIT

    private companion object {
        const val FRACTION_BITS = 53
        const val UNIT = 1.0 / (1L shl FRACTION_BITS)

        /** Not the seed of the rendezvous hash: the share of a target must be independent of its rank. */
        val RAMP_HASH: LongHashFunction = LongHashFunction.xx3(1)
        val PHASE_HASH: LongHashFunction = LongHashFunction.xx3(2)
    }
}
