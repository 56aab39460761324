package org.cicadaarch.ledger

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the ledger, which must be equal on all routers. [shards] and [segmentSlots] must not change while the
 * store contains a ledger.
 *
 * A key is retained for [idempotencyWindow] after its last change, plus [clockSkewAllowance] because the clocks of
 * routers differ and a claim may be granted some time after it was written.
 *
 * Each shard writes on average at most one segment with claims per [writeInterval], with bursts of up to [writeBurst].
 * Whatever the store answers, a shard sends at most [callBurst] calls to it at once, which is more than a load takes,
 * and one more each [callInterval].
 *
 * A report of an ended request waits up to [reportDelay] to be written in the same segment as a claim. A snapshot is
 * written after [snapshotInterval] segments; a shard whose snapshot would reach [maximumSnapshotBytes] refuses claims
 * of new keys.
 *
 * If the ingress of an earlier request does not reply to inquiries, sent every [inquiryInterval], for [ingressLease],
 * the request is assumed to have run. After [idleUnloadDelay] without messages, a router unloads a shard that it does
 * not own.
 */
data class LedgerSettings(
    val shards: Int = 64,
    val segmentSlots: Int = 512,
    val snapshotInterval: Int = 256,
    val idempotencyWindow: Duration = 24.hours,
    val clockSkewAllowance: Duration = 10.minutes,
    val writeInterval: Duration = 200.milliseconds,
    val writeBurst: Int = 5,
    val callBurst: Int = 32,
    val callInterval: Duration = 100.milliseconds,
    val reportDelay: Duration = 5.seconds,
    val ingressLease: Duration = 5.seconds,
    val inquiryInterval: Duration = 500.milliseconds,
    val minimumBackoff: Duration = 100.milliseconds,
    val maximumBackoff: Duration = 2.seconds,
    val idleUnloadDelay: Duration = 1.minutes,
    val maximumSegmentRecords: Int = 256,
    val maximumPendingClaims: Int = 2_000,
    val maximumSnapshotBytes: Int = 900_000,
    val segmentsPerPage: Int = 32,
) {
    init {
        require(writeBurst > 0) { "writeBurst must be positive, was $writeBurst" }
        require(shards > 0) { "shards must be positive, was $shards" }
        require(inquiryInterval < ingressLease) {
            "inquiryInterval $inquiryInterval must be shorter than ingressLease $ingressLease"
        }
        require(snapshotInterval in 1 until segmentSlots) {
            "snapshotInterval must be between 1 and ${segmentSlots - 1}, was $snapshotInterval"
        }
    }

    internal fun slotOf(sequence: Long): Int = ((sequence - 1) % segmentSlots).toInt()

    internal val retentionSeconds: Long get() = (idempotencyWindow + clockSkewAllowance).inWholeSeconds
}
