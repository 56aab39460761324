package org.cicadaarch.ledger

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the ingress side of the ledger. [shards] equals [LedgerSettings.shards].
 *
 * An unanswered claim is asked for again after [askInterval], an unrecorded report sent again after [reportInterval].
 * An ingress that holds [maximumClaims] refuses further keyed requests.
 */
data class ClaimantSettings(
    val shards: Int = LedgerSettings().shards,
    val askInterval: Duration = 500.milliseconds,
    val reportInterval: Duration = 10.seconds,
    val maximumClaims: Int = 10_000,
)
