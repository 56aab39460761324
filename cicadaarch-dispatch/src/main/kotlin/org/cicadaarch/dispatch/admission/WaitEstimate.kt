package org.cicadaarch.dispatch.admission

import kotlin.time.Duration

/**
 * The estimate that a request waits for [wait] until a target has a slot for it, behind [requestsAhead] that are queued
 * at this router.
 *
 * It follows from the slots that this router's own requests have in use, [slotsInUse], and from how long a request
 * usually keeps one, [slotTime]. The last response, by which slots are known to become free, ended [age] ago.
 */
data class WaitEstimate(
    val wait: Duration,
    val requestsAhead: Int,
    val slotsInUse: Int,
    val slotTime: Duration,
    val age: Duration,
)
