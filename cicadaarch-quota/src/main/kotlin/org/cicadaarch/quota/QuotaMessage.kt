package org.cicadaarch.quota

import kotlin.time.Duration
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cicadaarch.model.AccountId

/**
 * Messages between an ingress and the quota owner of a client account.
 */
@Serializable
sealed class QuotaMessage {
    /** Ingress to owner: lately [demand] came here for [account]. */
    @Serializable
    @SerialName("r")
    data class ShareRequested(val account: AccountId, val demand: QuotaAmounts) : QuotaMessage()

    /** Owner to ingress: [share] of the account's limits is the receiver's for [lease]. */
    @Serializable
    @SerialName("l")
    data class ShareGranted(val account: AccountId, val share: QuotaAmounts, val lease: Duration) : QuotaMessage()
}
