package org.cicadaarch.forwarding.peer

import kotlin.time.Duration
import org.cicadaarch.dispatch.observation.ObservationSummary
import org.cicadaarch.forwarding.TaskScheduler
import org.cicadaarch.model.RouterAddress

/**
 * Keeps one long poll open to each of the other routers that merge observations ([ObservationAggregator]), so that each
 * of them soon knows what all of them received.
 *
 * A router that responds at once is polled again no sooner than it makes a new summary, one that sends no summary after
 * [retryInterval].
 */
internal class AggregatorExchange(
    private val scheduler: TaskScheduler,
    private val aggregator: ObservationAggregator,
    private val retryInterval: Duration,
    private val others: () -> Collection<RouterAddress>,
    private val poll: (RouterAddress, onSummary: (ObservationSummary?) -> Unit) -> Unit,
) {
    private val polled = HashSet<RouterAddress>()

    /** Polls those of the others that are not polled yet. */
    fun update() {
        if (aggregator.isActive) (others() - polled).forEach { pollOnce(it) }
    }

    private fun pollOnce(router: RouterAddress) {
        polled += router
        val sentAt = scheduler.now()
        poll(router) { summary ->
            if (summary != null) aggregator.receive(router, summary)
            val interval = if (summary != null) ObservationAggregator.INTERVAL else retryInterval
            val timeLeft = interval - (scheduler.now() - sentAt)
            scheduler.schedule(timeLeft.coerceAtLeast(Duration.ZERO)) {
                polled -= router
                update()
            }
        }
    }
}
