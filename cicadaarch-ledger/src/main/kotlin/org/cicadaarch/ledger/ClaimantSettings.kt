package org.cicadaarch.ledger

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the ingress side of the ledger. [shards] must equal [LedgerSettings.shards].
 *
 * A claim request without a response is resent after [requestRetryInterval], and a report that is not confirmed as
 * recorded after [reportRetryInterval]. An ingress that tracks [maximumClaims] claims refuses further requests with
 * idempotency keys.
 */
data class ClaimantSettings(
    val shards: Int = LedgerSettings().shards,
    val requestRetryInterval: Duration = 500.milliseconds,
    val reportRetryInterval: Duration = 10.seconds,
    val maximumClaims: Int = 10_000,
)
