package org.cicadaarch.testkit.simulation

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.model.RouterId

/**
 * What happens to messages between routers: delay, loss, duplication and cuts in one direction.
 */
class NetworkFaults(
    private val random: Random,
    var lossShare: Double = 0.0,
    var duplicationShare: Double = 0.0,
    var longestDelay: Duration = 2.milliseconds,
) {
    private val cuts = mutableSetOf<Pair<RouterId, RouterId>>()

    /** The delays after which copies of a message from [from] to [to] arrive; none when it is lost. */
    fun deliveries(from: RouterId, to: RouterId): List<Duration> = when {
        (from to to) in cuts || random.nextDouble() < lossShare -> emptyList()
        random.nextDouble() < duplicationShare -> listOf(delay(), delay())
        else -> listOf(delay())
    }

    /** From now on nothing from [from] reaches [to]. */
    fun cut(from: RouterId, to: RouterId) {
        cuts += from to to
    }

    /** Ends all cuts. */
    fun heal() = cuts.clear()

    private fun delay(): Duration = SHORTEST_DELAY + longestDelay * random.nextDouble()

    private companion object {
        val SHORTEST_DELAY = 500.microseconds
    }
}
