package org.cicadaarch.forwarding.peer

import kotlin.time.Duration
import org.cicadaarch.dispatch.observation.ObservationDigest
import org.cicadaarch.forwarding.TaskScheduler
import org.cicadaarch.model.RouterAddress

/**
 * Keeps one long poll open to each of the other routers that merge observations ([ObservationHub]), so that each of
 * them soon knows what all of them received.
 */
internal class HubExchange(
    private val scheduler: TaskScheduler,
    private val hub: ObservationHub,
    private val retryInterval: Duration,
    private val others: () -> Collection<RouterAddress>,
    private val poll: (RouterAddress, onDigest: (ObservationDigest?) -> Unit) -> Unit,
) {
    private val polled = HashSet<RouterAddress>()

    /** Polls those of the others that are not polled yet. */
    fun update() {
        if (hub.isActive) (others() - polled).forEach { pollOnce(it) }
    }

    private fun pollOnce(router: RouterAddress) {
        polled += router
        poll(router) { digest ->
            if (digest != null) hub.receive(router, digest)
            scheduler.schedule(if (digest != null) Duration.ZERO else retryInterval) {
                polled -= router
                update()
            }
        }
    }
}
