package org.cicadaarch.forwarding.peer

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.dispatch.observation.ObservationReport
import org.cicadaarch.dispatch.observation.ObservationScope.FIRSTHAND
import org.cicadaarch.dispatch.observation.ObservationScope.FLEET
import org.cicadaarch.dispatch.observation.ObservationSummary
import org.cicadaarch.dispatch.watch.WatchState
import org.cicadaarch.forwarding.TaskScheduler
import org.cicadaarch.forwarding.fleet.PrefixWatcher
import org.cicadaarch.forwarding.fleet.StoreProbe
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.Timestamp
import org.cicadaarch.store.StoreEra

/**
 * Exchanges store contents with other routers, so that few routers watch the store on behalf of all, and a router that
 * the store rejects still receives updates.
 *
 * A router that watches the store polls a random candidate at intervals, more often while the store does not respond.
 * Any other router keeps [CONCURRENT_POLLS] long polls open, each to one of the watching routers in turn, so that a
 * watching router which has lost the store unnoticed delays updates by no more than one poll.
 *
 * With its polls a router reports what it observes of targets and prompts, and it is told what the fleet observes: the
 * watching routers merge the reports ([ObservationAggregator]) and tell each other ([AggregatorExchange]).
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
    private val storeEra: StoreEra,
    bound: Duration,
) {
    private val directory = PeerDirectory(self, seeds, bound)
    private val client = PeerClient(self, transport, scheduler, storeEra)
    private val aggregator = ObservationAggregator(self, dispatch, scheduler, imbalanceFactor)
    private val server = PeerServer(scheduler, directory, prefixWatchers, aggregator, storeEra)
    private val aggregatorExchange = AggregatorExchange(
        scheduler = scheduler,
        aggregator = aggregator,
        retryInterval = POLL_INTERVAL,
        others = { directory.watchers(scheduler.now()) - self },
        poll = ::pollAggregator,
    )
    private var lastPollAt = Timestamp(0)
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
                poll(others[pollCount.mod(others.size)], nextWait(now), dispatch.takeReport()) { result ->
                    if (result != PollResult.WATCHING) watcherLost()
                    val pause = if (result == PollResult.WATCHING) Duration.ZERO else takeoverPollInterval
                    scheduleNext(poller, maxOf(pause, MIN_POLL_INTERVAL - (scheduler.now() - now)))
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
        if (allPolledAt.let { it != null && now - it < PeerClient.RESPONSE_TIMEOUT }) return
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

    private fun hasUnreadPrefix(): Boolean = prefixWatchers.values.any { !it.state.version.isRead }

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

    /** Polls [peer] for updates of the store. With [report], it is told this too, and asked what the fleet observes. */
    private fun poll(
        peer: RouterAddress,
        wait: Duration,
        report: ObservationReport? = null,
        onDone: (PollResult) -> Unit,
    ) {
        val versions = prefixWatchers.mapValues { it.value.state.version }
        transport.closeAllExcept(directory.peers)
        client.send(PeerPoll(wait, versions, scope = report?.let { FLEET }, report), peer) { answer ->
            if (!aggregator.isActive) answer?.summary?.let(dispatch::apply)
            val result = handle(peer, answer?.response)
            if (result == PollResult.WATCHING) prefixWatchers.values.forEach { it.confirmedByPeer() }
            onDone(result)
        }
    }

    /**
     * Asks [peer] for its firsthand observations. A failure is not held against it: polls for updates find out whether
     * it is lost, and a router that is cut off would soon evict all others.
     */
    private fun pollAggregator(peer: RouterAddress, onSummary: (ObservationSummary?) -> Unit) =
        client.send(PeerPoll(maxWait, scope = FIRSTHAND), peer) { answer ->
            if (answer != null) handle(peer, answer.response)
            onSummary(answer?.summary)
        }

    /** Applies the [response] of [peer], null if there was none. */
    private fun handle(peer: RouterAddress, response: PeerResponse?): PollResult {
        val now = scheduler.now()
        if (response == null) {
            directory.recordFailure(peer, now)
            return PollResult.FAILED
        }
        val isWatching = response.isWatchingStore && response.updates.all { isUsable(it) }
        directory.recordContact(peer, now, isWatching)
        if (isWatching) fallbackWatch.heardOfWatcher()
        response.routers.mapNotNull { PeerQuery.parseAddress(it) }.forEach { directory.addReported(it, now) }
        response.updates.forEach { applyUpdate(peer, it) }
        return if (isWatching) PollResult.WATCHING else PollResult.NOT_WATCHING
    }

    /**
     * A router of an earlier version of the program states no era. What it sends is of the only era that is known,
     * unless the store has returned from an older copy: then it may be of any, so that router counts as not watching.
     */
    private fun isUsable(message: PrefixUpdateMessage): Boolean = message.era != null || storeEra.restorations == 0

    private fun applyUpdate(peer: RouterAddress, message: PrefixUpdateMessage) {
        val watcher = prefixWatchers[message.prefix] ?: return
        if (!isUsable(message)) return
        watcher.applyPeerUpdate(peer, message.toUpdate(defaultEra = storeEra.current))
    }

    private enum class PollResult { WATCHING, NOT_WATCHING, FAILED }

    private companion object {
        /**
         * Long polls that a router keeps open while it does not watch the store. With two, one lost router delays no
         * update.
         */
        const val CONCURRENT_POLLS = 2

        /** The shortest time between the starts of two long polls of the same poller, whatever the others respond. */
        val MIN_POLL_INTERVAL = 100.milliseconds

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
        const val MIN_JITTER = 0.8
        const val MAX_JITTER = 1.2
    }
}
