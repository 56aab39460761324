package org.cicadaarch.quota

import kotlin.time.Duration
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cicadaarch.model.AccountId

/**
 * Messages between an ingress and the router that owns a client account's quota.
 */
@Serializable
sealed class QuotaMessage {
    /** Ingress to owner: requests a share for the recent [demand] of [account] at this ingress. */
    @Serializable
    @SerialName("r")
    data class ShareRequested(val account: AccountId, val demand: QuotaAmounts) : QuotaMessage()

    /** Owner to ingress: grants the receiver a [share] of the account's limits for the duration of [lease]. */
    @Serializable
    @SerialName("l")
    data class ShareGranted(val account: AccountId, val share: QuotaAmounts, val lease: Duration) : QuotaMessage()
}
