package org.cicadaarch.ledger

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the ledger, equal on every router. [shards] and [segmentSlots] must never change while a ledger is stored.
 *
 * A key is remembered for [idempotencyWindow] after its last change, and for [clockSkewAllowance] more as routers' clocks may differ
 * and a claim may be granted some time after it was written. Segments with claims are written at most every
 * [writeInterval] in the long run, and [writeBurst] of them at once; a finished claim waits up to [reportDelay] for a
 * claim to share a segment with. An earlier request whose ingress is silent for [ingressLease] is taken to have run. A
 * snapshot is written after [snapshotInterval] segments and stays under [maximumSnapshotBytes].
 */
data class LedgerSettings(
    val shards: Int = 64,
    val segmentSlots: Int = 512,
    val snapshotInterval: Int = 256,
    val idempotencyWindow: Duration = 24.hours,
    val clockSkewAllowance: Duration = 10.minutes,
    val writeInterval: Duration = 200.milliseconds,
    val writeBurst: Int = 5,
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
