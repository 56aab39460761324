package org.cicadaarch.experiment.membership

import java.lang.management.ManagementFactory
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.membership.ListedVm
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.Timestamp

/**
 * A fleet in one process and virtual time: a queue of datagrams with delay, loss, duplication, cuts and frozen nodes.
 *
 * The same [seed] gives the same run. Nodes tick every 100 ms, each at its own offset.
 */
class MembershipNetwork<M>(
    seed: Long,
    var quality: LinkQuality = LinkQuality(),
    private val transfer: (M) -> M = { it },
    private val observer: ViewObserver = ViewObserver { _, _, _, _ -> },
) {
    private val random = Random(seed)
    private val threads = ManagementFactory.getThreadMXBean()
    private val queue = PriorityQueue<Occurrence>(compareBy<Occurrence>({ it.at }, { it.number }))
    private val nodes = linkedMapOf<RouterAddress, Slot>()
    private val cuts = mutableSetOf<Cut>()
    private var number = 0L

    /** The platform's list; the test decides what it holds. */
    val list = PlatformList()

    /** What was sent and worked. */
    val traffic = TrafficCount()

    /** The present in virtual time. */
    var now: Timestamp = Timestamp(0)
        private set

    /** All running nodes, frozen ones included. */
    val running: List<FleetNode<M>> get() = nodes.values.map { it.node }

    /** Starts [node] at its address; a node that runs there is ended without notice. */
    fun start(node: FleetNode<M>) {
        val slot = Slot(node)
        nodes[node.self.address] = slot
        schedule(random.nextLong(TICK_MILLISECONDS).milliseconds) { tick(slot) }
    }

    /** Ends the node at [address] without notice. */
    fun stop(address: RouterAddress) {
        nodes.remove(address)
    }

    /** Lets the node at [address] do nothing; datagrams to it wait. */
    fun freeze(address: RouterAddress) {
        nodes[address]?.frozen = true
    }

    /** Lets the node at [address] go on. */
    fun thaw(address: RouterAddress) {
        val slot = nodes[address] ?: return
        slot.frozen = false
        slot.waiting.toList().also { slot.waiting.clear() }.forEach { it() }
    }

    /** Whether the node at [address] runs and is not frozen. */
    fun isAwake(address: RouterAddress): Boolean = nodes[address]?.frozen == false

    /** Drops all datagrams from routers of [from] to routers of [to] until [heal]. */
    fun cut(from: (RouterInfo) -> Boolean, to: (RouterInfo) -> Boolean): Cut = Cut(from, to).also { cuts += it }

    /** Ends [cut]. */
    fun heal(cut: Cut) {
        cuts -= cut
    }

    /** Lets the node at [address] begin its graceful shutdown. */
    fun leave(address: RouterAddress) = work(address) { leave(now) }

    /** Lets the node at [address] say goodbye and ends it. */
    fun depart(address: RouterAddress) {
        work(address) { depart(now) }
        stop(address)
    }

    /** Runs for [duration] of virtual time, with [each] called before every step. */
    fun run(duration: Duration, each: () -> Unit = {}) {
        val end = now + duration
        while (true) {
            val next = queue.peek()?.takeIf { it.at <= end } ?: break
            queue.remove()
            now = next.at
            each()
            next.action()
        }
        now = end
    }

    private fun work(address: RouterAddress, action: FleetNode<M>.() -> NodeOutput<M>) {
        nodes[address]?.let { perform(it, action) }
    }

    private fun tick(slot: Slot) {
        if (nodes[slot.node.self.address] !== slot) return
        schedule(TICK_MILLISECONDS.milliseconds) { tick(slot) }
        if (slot.frozen) return
        traffic.ticked()
        perform(slot) { tick(now) }
        reportView(slot)
    }

    private fun reportView(slot: Slot) {
        val view = slot.node.view.routers.keys
        if (view === slot.reported) return
        observer.viewChanged(slot.node.self.id, view - slot.reported, slot.reported - view, now)
        slot.reported = view
    }

    private fun perform(slot: Slot, action: FleetNode<M>.() -> NodeOutput<M>) {
        val before = threads.currentThreadCpuTime
        val output = slot.node.action()
        traffic.worked(threads.currentThreadCpuTime - before)
        output.datagrams.forEach { send(slot, it) }
        if (output.fetchesList) readList(slot)
    }

    private fun readList(slot: Slot) {
        traffic.listRead()
        val entries: List<ListedVm> = list.read(slot.node.self.address, now) ?: return
        schedule(LIST_MILLISECONDS.milliseconds) { delivered(slot) { listFetched(entries, now) } }
    }

    private fun send(slot: Slot, datagram: Datagram<M>) {
        traffic.sent(datagram.bytes)
        val copies = if (random.nextDouble() < quality.duplication) 2 else 1
        repeat(copies) {
            val lost = random.nextDouble() < quality.loss
            val delay = random.nextLong(
                quality.leastDelay.inWholeMilliseconds,
                quality.mostDelay.inWholeMilliseconds + 1,
            )
            if (!lost) schedule(delay.milliseconds) { arrive(slot.node.self, datagram) }
        }
    }

    private fun arrive(from: RouterInfo, datagram: Datagram<M>) {
        val slot = nodes[datagram.to] ?: return
        if (cuts.any { it.from(from) && it.to(slot.node.self) }) return
        val message = transfer(datagram.message)
        delivered(slot) { receive(from.address, message, now) }
    }

    private fun delivered(slot: Slot, action: FleetNode<M>.() -> NodeOutput<M>) {
        if (nodes[slot.node.self.address] !== slot) return
        when {
            !slot.frozen -> perform(slot, action)
            slot.waiting.size < WAITING_LIMIT -> slot.waiting += { perform(slot, action) }
        }
    }

    private fun schedule(delay: Duration, action: () -> Unit) {
        queue += Occurrence(now + delay, number++, action)
    }

    private inner class Slot(val node: FleetNode<M>) {
        var frozen = false
        var reported: Set<RouterId> = setOf(node.self.id)
        val waiting = mutableListOf<() -> Unit>()
    }

    private class Occurrence(val at: Timestamp, val number: Long, val action: () -> Unit)

    /** A cut in one direction. */
    class Cut internal constructor(
        internal val from: (RouterInfo) -> Boolean,
        internal val to: (RouterInfo) -> Boolean,
    )

    private companion object {
        const val TICK_MILLISECONDS = 100L
        const val LIST_MILLISECONDS = 20L

        /** Datagrams that a socket's buffer keeps for a paused process. */
        const val WAITING_LIMIT = 200
    }
}
