package org.cicadaarch.ledger

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the ingress side of the ledger. [shards] equals [LedgerSettings.shards].
 *
 * An unanswered claim is asked for again after [requestRetryInterval], an unrecorded report sent again after [reportRetryInterval].
 * An ingress that holds [maximumClaims] refuses further keyed requests.
 */
data class ClaimantSettings(
    val shards: Int = LedgerSettings().shards,
    val requestRetryInterval: Duration = 500.milliseconds,
    val reportRetryInterval: Duration = 10.seconds,
    val maximumClaims: Int = 10_000,
)
