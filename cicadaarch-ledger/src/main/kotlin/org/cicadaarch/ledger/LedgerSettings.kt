package org.cicadaarch.ledger

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the ledger, equal on every router. [shards] and [slots] must never change while a ledger is in the store.
 *
 * A key is remembered for [window] after its last change, and for [clockAllowance] more as routers' clocks may differ.
 * [writeInterval] is the least time between two segments of a shard; [reportDelay] is how long a finished claim may
 * wait for other records to share a segment. An earlier request whose ingress is silent for [ingressLease] is taken to
 * have run. A snapshot is written after [snapshotInterval] segments and stays under [maximumSnapshotBytes].
 */
data class LedgerSettings(
    val shards: Int = 64,
    val slots: Int = 512,
    val snapshotInterval: Int = 256,
    val window: Duration = 24.hours,
    val clockAllowance: Duration = 10.minutes,
    val writeInterval: Duration = 200.milliseconds,
    val reportDelay: Duration = 1.seconds,
    val ingressLease: Duration = 5.seconds,
    val inquiryInterval: Duration = 500.milliseconds,
    val minimumBackoff: Duration = 100.milliseconds,
    val maximumBackoff: Duration = 2.seconds,
    val idleUnload: Duration = 1.minutes,
    val maximumSegmentRecords: Int = 256,
    val maximumWaitingClaims: Int = 2_000,
    val maximumSnapshotBytes: Int = 900_000,
    val segmentsPerRead: Int = 32,
) {
    init {
        require(shards > 0) { "shards must be positive, was $shards" }
        require(snapshotInterval in 1 until slots) {
            "snapshotInterval must be between 1 and ${slots - 1}, was $snapshotInterval"
        }
    }

    internal fun slotOf(sequence: Long): Int = ((sequence - 1) % slots).toInt()

    internal val retentionSeconds: Long get() = (window + clockAllowance).inWholeSeconds
}
