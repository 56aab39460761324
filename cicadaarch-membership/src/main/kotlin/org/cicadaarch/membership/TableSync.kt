package org.cicadaarch.membership

import kotlin.random.Random
import org.cicadaarch.membership.MembershipEffect.Send
import org.cicadaarch.membership.MembershipMessage.SyncReply
import org.cicadaarch.membership.MembershipMessage.SyncRequest
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp

/**
 * Anti-entropy: repairs differences between member tables that dissemination missed.
 *
 * Two routers whose table digests differ compare their tables bucket by bucket, and the requester receives the records
 * of the differing buckets. A starting router obtains the whole table this way.
 */
internal class TableSync(
    private val settings: MembershipSettings,
    private val packets: PacketSender,
    private val merger: UpdateMerger,
) {
    /**
     * Starts an exchange with the router at [from] if one is due and the table digests differ.
     *
     * While the sender has suspicions its table is about to change, so only a router that is far behind starts one.
     */
    fun startIfDifferent(state: MembershipState, from: RouterAddress, sender: Sender, now: Timestamp): MembershipStep {
        val isUnsettled = sender.hasSuspicions && !isFarBehind(state)
        val due = state.schedule.sync <= now && sender.tableDigest != state.tableDigest()
        return if (due && !isUnsettled) sendRequest(state, from, now) else Step(state)
    }

    /** Responds to [request] from the router at [from]. */
    fun handleRequest(state: MembershipState, request: SyncRequest, from: RouterAddress): MembershipStep {
        val own = bucketsFor(state)
        val sender = packets.senderOf(state)
        val reply = if (request.buckets < own) {
            SyncReply(sender, buckets = own, next = 0)
        } else {
            compare(state, request, sender)
        }
        return Step(state, listOf(Send(from, reply)))
    }

    /** Applies the records of [reply] and requests the next ones from the router at [from]. */
    fun handleReply(state: MembershipState, reply: SyncReply, from: RouterAddress, now: Timestamp): MembershipStep {
        val progress = SyncProgress(reply.buckets, reply.next)
        val duplicate = reply.buckets <= state.sync.buckets && reply.next <= state.sync.next
        return merger.applyRecords(state, reply.records, now).then { merged ->
            when {
                reply.next >= reply.buckets -> Step(merged.copy(sync = SyncProgress()))
                duplicate -> Step(merged)
                else -> sendRequest(merged.copy(sync = progress), from, now)
            }
        }
    }

    private fun sendRequest(state: MembershipState, to: RouterAddress, now: Timestamp): MembershipStep {
        val buckets = maxOf(state.sync.buckets, bucketsFor(state))
        val first = if (buckets == state.sync.buckets) state.sync.next else 0
        val period = if (isFarBehind(state)) settings.joinSyncPeriod else settings.syncPeriod
        val requesting = state.copy(
            sync = state.sync.copy(buckets = buckets, next = first),
            schedule = state.schedule.copy(sync = now + period),
        )
        val digests = bucketDigests(requesting, buckets, first)
        val reserved = digests.size * DIGEST_BYTES + DIGESTS_HEADER_BYTES
        return packets.send(requesting, to, reserved = reserved) { sender, updates ->
            SyncRequest(sender, buckets, first, digests, updates)
        }
    }

    private fun compare(state: MembershipState, request: SyncRequest, sender: Sender): SyncReply {
        val own = bucketDigests(state, request.buckets, request.first)
        val differing = request.digests.indices.filter { own.getOrNull(it) != request.digests[it] }
        val records = recordsByBucket(state, request.buckets, differing.map { request.first + it }.toSet())
        var remaining = packets.remainingBytes(sender)
        var next = request.first + request.digests.size
        val chosen = mutableListOf<MemberUpdate>()
        for (offset in differing) {
            val bucket = records[request.first + offset].orEmpty()
            val bytes = bucket.sumOf(PacketSize::of)
            if (bytes > remaining && chosen.isNotEmpty()) {
                next = request.first + offset
                break
            }
            val fitting = if (bytes > remaining) takeRandomFitting(bucket, remaining, state.sequence) else bucket
            chosen += fitting
            remaining -= fitting.sumOf(PacketSize::of)
        }
        return SyncReply(sender, request.buckets, next, chosen)
    }

    /** Returns a random part of a bucket that exceeds one message; later exchanges transfer the rest. */
    private fun takeRandomFitting(bucket: List<MemberUpdate>, bytes: Int, seed: Int): List<MemberUpdate> {
        var remaining = bytes
        return bucket.shuffled(Random(settings.seed xor seed.toLong())).takeWhile {
            remaining -= PacketSize.of(it)
            remaining >= 0
        }
    }

    private fun recordsByBucket(state: MembershipState, buckets: Int, wanted: Set<Int>): Map<Int, List<MemberUpdate>> {
        val alive = state.table.members.values.asSequence()
            .filter { RecordHash.bucket(it.info.id, buckets) in wanted }
            .map { it.toUpdate() }
        val removed = state.tombstones.values.asSequence()
            .filter { RecordHash.bucket(it.info.id, buckets) in wanted }
            .map { it.toUpdate() }
        val self = sequenceOf(state.selfUpdate()).filter { RecordHash.bucket(it.id, buckets) in wanted }
        return (self + alive + removed).groupBy { RecordHash.bucket(it.id, buckets) }
    }

    private fun bucketDigests(state: MembershipState, buckets: Int, first: Int): List<Int> {
        val digests = IntArray(minOf(DIGESTS_PER_REQUEST, buckets - first).coerceAtLeast(0))
        fun add(bucket: Int, hash: Int) {
            val offset = bucket - first
            if (offset in digests.indices) digests[offset] = digests[offset] xor hash
        }
        state.table.members.values.forEach { add(RecordHash.bucket(it.info.id, buckets), RecordHash.of(it)) }
        add(RecordHash.bucket(state.self.id, buckets), RecordHash.of(state.self, state.incarnation))
        return digests.asList()
    }

    /** True when this router knows less than half of the listed VMs, as after its start. */
    private fun isFarBehind(state: MembershipState): Boolean = (state.table.size + 1) * 2 < state.vmList.size

    private fun bucketsFor(state: MembershipState): Int =
        maxOf(1, (state.table.size + 1) / RECORDS_PER_BUCKET).takeHighestOneBit().coerceAtMost(MAXIMUM_BUCKETS)

    private companion object {
        const val RECORDS_PER_BUCKET = 2
        const val MAXIMUM_BUCKETS = 4_096
        const val DIGESTS_PER_REQUEST = 32

        /** Upper bounds of the encoded size of one digest and of the fields around the digests. */
        const val DIGEST_BYTES = 5
        const val DIGESTS_HEADER_BYTES = 16
    }
}
