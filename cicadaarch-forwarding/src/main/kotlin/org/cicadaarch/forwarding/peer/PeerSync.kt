package org.cicadaarch.forwarding.peer

import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.QueryStringEncoder
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.json.Json
import org.cicadaarch.dispatch.observation.ObservationScope
import org.cicadaarch.dispatch.observation.ObservationSummary
import org.cicadaarch.dispatch.watch.WatchState
import org.cicadaarch.forwarding.TaskScheduler
import org.cicadaarch.forwarding.fleet.PrefixWatcher
import org.cicadaarch.forwarding.fleet.StoreProbe
import org.cicadaarch.forwarding.http.EndpointRequest
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.Timestamp
import org.cicadaarch.store.HttpOutcome
import org.cicadaarch.store.UntrustedJson

/**
 * Exchanges store contents with other routers, so that few routers watch the store on behalf of all, and a router that
 * the store rejects still receives updates.
 *
 * A router that watches the store polls a random candidate at intervals, more often while the store does not respond.
 * Any other router keeps [CONCURRENT_POLLS] long polls open, each to one of the watching routers in turn, so that a
 * watching router which has lost the store unnoticed delays updates by no more than one poll.
 *
 * A watching router asks the store at intervals whether it is still served ([StoreProbe]) and says so to the others
 * when it is not. A router that hears of none that watches does so on its own account ([FallbackWatch]). News of the
 * store may take [bound] to reach all routers.
 */
internal class PeerSync(
    private val self: RouterAddress,
    seeds: List<RouterAddress>,
    private val transport: PeerTransport,
    private val scheduler: TaskScheduler,
    private val prefixWatchers: Map<String, PrefixWatcher>,
    private val dispatch: ObservedDispatch,
    imbalanceFactor: Double,
    private val storeProbe: StoreProbe,
    bound: Duration,
) {
    private val directory = PeerDirectory(self, seeds, bound)
    private val aggregator = ObservationAggregator(dispatch, scheduler, imbalanceFactor)
    private val server = PeerServer(scheduler, directory, prefixWatchers, aggregator)
    private val aggregatorExchange = AggregatorExchange(
        scheduler = scheduler,
        aggregator = aggregator,
        retryInterval = POLL_INTERVAL,
        others = { directory.watchers(scheduler.now()) - self },
        poll = ::pollAggregator,
    )
    private var lastPollAt = Timestamp(0)
    private var lastTransit = Duration.ZERO
    private val random = Random(self.hashCode())
    private val startedAt = scheduler.now()
    private var allPolledAt: Timestamp? = null
    private val takeoverPollInterval = bound * TAKEOVER_SHARE
    private val maxWait = minOf(PeerQuery.MAX_WAIT, bound * MAX_WAIT_SHARE)
    private val fallbackWatch = FallbackWatch(
        scheduler = scheduler,
        storeProbe = storeProbe,
        maxSilence = maxWait + bound * RESPONSE_SHARE,
        random = random,
        isWatching = ::isWatchEnabled,
        onChange = ::updateRole,
    )
    private var pollCount = random.nextInt(PeerDirectory.WATCHER_COUNT)

    /** Accepts the polls of other routers. */
    fun listen() = transport.listen(server::onRequest)

    /** Starts to poll other routers. */
    fun start() {
        repeat(CONCURRENT_POLLS) { poller -> pollNext(poller) }
        storeProbe.start(prefixWatchers.values)
        fallbackWatch.start()
    }

    private fun pollNext(poller: Int) {
        val now = scheduler.now()
        if (now - startedAt < STORE_READ_TIME && hasUnreadPrefix()) return scheduleNext(poller, READ_CHECK_INTERVAL)
        updateRole()
        val others = directory.watchers(now) - self
        when {
            !isWatchEnabled() && others.isNotEmpty() -> {
                pollCount += 1
                poll(
                    others[pollCount.mod(others.size)],
                    nextWait(now),
                    nextReport(),
                ) { result ->
                    if (result != PollResult.WATCHING) watcherLost()
                    scheduleNext(poller, if (result == PollResult.WATCHING) Duration.ZERO else takeoverPollInterval)
                }
            }

            poller == 0 -> {
                directory.candidates(now).filter { it != self }.randomOrNull(random)?.let { poll(it, Duration.ZERO) {} }
                scheduleNext(poller, pollInterval())
            }

            else -> scheduleNext(poller, POLL_INTERVAL)
        }
    }

    /** Watches the store if this router is one of those that should, or as a fallback. */
    private fun updateRole() {
        if (isStoreLost()) fallbackWatch.storeLost()
        val shouldWatch = fallbackWatch.isActive || self in directory.watchers(scheduler.now())
        if (shouldWatch != isWatchEnabled()) setWatchEnabled(shouldWatch)
        aggregator.setActive(shouldWatch)
        aggregatorExchange.update()
    }

    /** The report takes about as long on its way as the last response did. */
    private fun nextReport() = ReportMessage.of(dispatch.takeReport().aged(lastTransit))

    /** Polls that start together wait for different times, so that reports leave at even intervals. */
    private fun nextWait(now: Timestamp): Duration {
        val wait = if (now - lastPollAt < maxWait / CONCURRENT_POLLS) maxWait / CONCURRENT_POLLS else maxWait
        lastPollAt = now
        return wait
    }

    /**
     * Polls all watching routers at once after one of them was lost, as others may have been lost with it. So a change
     * is delayed by one such poll, however many of them are lost.
     */
    private fun watcherLost() {
        fallbackWatch.watcherLost()
        val now = scheduler.now()
        if (allPolledAt.let { it != null && now - it < RESPONSE_TIMEOUT }) return
        allPolledAt = now
        (directory.watchers(now) - self).forEach { poll(it, Duration.ZERO) {} }
    }

    private fun scheduleNext(poller: Int, delay: Duration) {
        scheduler.schedule(delay) { pollNext(poller) }
    }

    private fun isWatchEnabled(): Boolean = prefixWatchers.values.none { it.state.phase is WatchState.Phase.Delegated }

    private fun setWatchEnabled(isEnabled: Boolean) {
        LogEvents.info("store-watching") {
            "watches" to isEnabled
            "routers" to directory.peers.size
        }
        prefixWatchers.values.forEach { it.setWatchEnabled(isEnabled) }
    }

    private fun hasUnreadPrefix(): Boolean = prefixWatchers.values.any { it.state.revision == 0L }

    private fun isStoreLost(): Boolean = hasUnreadPrefix() || prefixWatchers.values.any { it.state.failures > 0 }

    private fun pollInterval(): Duration {
        val isRecentlyStarted = scheduler.now() - startedAt < STARTUP_TIME
        val interval = when {
            isRecentlyStarted -> STARTUP_POLL_INTERVAL
            isStoreLost() -> STORE_LOST_POLL_INTERVAL
            else -> POLL_INTERVAL
        }
        return interval * random.nextDouble(MIN_JITTER, MAX_JITTER)
    }

    private fun poll(
        peer: RouterAddress,
        wait: Duration,
        report: ReportMessage? = null,
        onDone: (PollResult) -> Unit,
    ) {
        val query = query(wait)
        if (report != null) query.addParam(PeerQuery.OBSERVATIONS, ObservationScope.FLEET.name)
        prefixWatchers.forEach { (prefix, watcher) -> query.addParam(prefix, watcher.state.revision.toString()) }
        val body = report?.let { Json.encodeToString(it) }.orEmpty()
        transport.closeAllExcept(directory.peers)
        val sentAt = scheduler.now()
        transport.poll(peer, EndpointRequest(query.toString(), body), wait + RESPONSE_TIMEOUT) { outcome ->
            scheduler.execute {
                onDone(
                    handleOutcome(peer, outcome) {
                        if (!aggregator.isActive) summaryOf(it, sentAt)?.let(dispatch::apply)
                    },
                )
            }
        }
    }

    /** Asks [peer] for its firsthand observations. */
    private fun pollAggregator(peer: RouterAddress, onSummary: (ObservationSummary?) -> Unit) {
        val query = query(maxWait)
        query.addParam(PeerQuery.OBSERVATIONS, ObservationScope.FIRSTHAND.name)
        val sentAt = scheduler.now()
        transport.poll(peer, EndpointRequest(query.toString()), maxWait + RESPONSE_TIMEOUT) { outcome ->
            scheduler.execute {
                var summary: ObservationSummary? = null
                handleOutcome(peer, outcome) { summary = summaryOf(it, sentAt) }
                onSummary(summary)
            }
        }
    }

    private fun query(wait: Duration): QueryStringEncoder {
        val query = QueryStringEncoder(PeerQuery.PATH)
        query.addParam(PeerQuery.FROM, self.toString())
        query.addParam(PeerQuery.WAIT, wait.inWholeMilliseconds.toString())
        return query
    }

    /** The summary in [response], which may have taken all the time on its way for which the poll was not held. */
    private fun summaryOf(response: PeerResponse, sentAt: Timestamp): ObservationSummary? {
        val held = (response.heldMillis ?: 0).milliseconds
        lastTransit = (scheduler.now() - sentAt - held).coerceAtLeast(Duration.ZERO)
        return response.observations?.toSummary()?.aged(lastTransit)
    }

    /** Applies the response of [peer] and passes it to [onResponse]. */
    private fun handleOutcome(
        peer: RouterAddress,
        outcome: HttpOutcome,
        onResponse: (PeerResponse) -> Unit,
    ): PollResult {
        val now = scheduler.now()
        val response = (outcome as? HttpOutcome.Answered)?.takeIf { it.status == HttpResponseStatus.OK.code() }
            ?.let { decode(peer, it.body) }
        if (response == null) {
            directory.recordFailure(peer, now)
            LogEvents.debug("peer-silent") {
                "peer" to peer
                "outcome" to outcome
            }
            return PollResult.FAILED
        }
        directory.recordContact(peer, now, response.isWatchingStore)
        if (response.isWatchingStore) fallbackWatch.heardOfWatcher()
        response.routers.mapNotNull { PeerQuery.parseAddress(it) }.forEach { directory.addReported(it, now) }
        onResponse(response)
        response.updates.forEach { prefixWatchers[it.prefix]?.applyPeerUpdate(peer, it.toUpdate()) }
        return if (response.isWatchingStore) PollResult.WATCHING else PollResult.NOT_WATCHING
    }

    private fun decode(peer: RouterAddress, body: String): PeerResponse? =
        UntrustedJson.decode(body) { PeerJson.decodeFromString<PeerResponse>(it) }.fold(
            ifLeft = { error ->
                LogEvents.warn("peer-answer-unreadable") {
                    "peer" to peer
                    "error" to error
                }
                null
            },
            ifRight = { it },
        )

    private enum class PollResult { WATCHING, NOT_WATCHING, FAILED }

    private companion object {
        /**
         * Long polls that a router keeps open while it does not watch the store. With two, one lost router delays no
         * update.
         */
        const val CONCURRENT_POLLS = 2

        /** An update reaches a router that the store rejects within a few of these intervals. */
        val POLL_INTERVAL = 1500.milliseconds
        val STORE_LOST_POLL_INTERVAL = 400.milliseconds

        /** Share of the time that news may take, for the pause before another router is polled after one was lost. */
        const val TAKEOVER_SHARE = 0.05

        /**
         * Shares of the time that news may take: for the longest wait of a poll, and for the way of its response. After
         * both, a router that has heard of none that watches does so itself.
         */
        const val MAX_WAIT_SHARE = 0.5
        const val RESPONSE_SHARE = 0.1

        /**
         * Time to read the store before polling: full contents for many routers that start at once would overload the
         * seeds.
         */
        val STORE_READ_TIME = 400.milliseconds
        val READ_CHECK_INTERVAL = 50.milliseconds

        /** A new router polls often, to learn soon whether others watch the store. */
        val STARTUP_POLL_INTERVAL = 200.milliseconds
        val STARTUP_TIME = 2000.milliseconds
        val RESPONSE_TIMEOUT = 500.milliseconds
        const val MIN_JITTER = 0.8
        const val MAX_JITTER = 1.2
    }
}
