package org.cicadaarch.core

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cicadaarch.admission.AdmissionMessage
import org.cicadaarch.configuration.dissemination.ConfigurationMessage
import org.cicadaarch.ledger.LedgerMessage
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.Fingerprint
import org.cicadaarch.model.RouterId
import org.cicadaarch.quota.QuotaMessage

/**
 * A message from one router to another. It may be lost, duplicated or reordered; the receiving roles tolerate that.
 */
@Serializable
sealed class PeerMessage {
    /** The first message on a connection, which identifies its sender. */
    @Serializable
    @SerialName("h")
    data class Hello(val sender: RouterId) : PeerMessage()

    /** From the ingress of a request, or from another admission owner, to an admission owner. */
    @Serializable
    @SerialName("ao")
    data class ToAdmissionOwner(val message: AdmissionMessage) : PeerMessage()

    /** From an admission owner to the ingress of a request. */
    @Serializable
    @SerialName("ai")
    data class ToIngress(val message: AdmissionMessage) : PeerMessage()

    /** From the ingress of a request with an idempotency key to the owner of a ledger shard. */
    @Serializable
    @SerialName("lo")
    data class ToShardOwner(val message: LedgerMessage.ForOwner) : PeerMessage()

    /** From the owner of a ledger shard to the ingress of a request with an idempotency key. */
    @Serializable
    @SerialName("lc")
    data class ToClaimant(val message: LedgerMessage.ForIngress) : PeerMessage()

    /** Between an ingress and the quota owner of a client account. */
    @Serializable
    @SerialName("q")
    data class ToQuota(val message: QuotaMessage) : PeerMessage()

    /** Between the configuration roles of two routers. */
    @Serializable
    @SerialName("c")
    data class ToConfiguration(val message: ConfigurationMessage) : PeerMessage()

    /** To every ingress: the connection to the target broke during [attempt] of a request with [fingerprint]. */
    @Serializable
    @SerialName("x")
    data class CrashReported(val fingerprint: Fingerprint, val attempt: AttemptId) : PeerMessage()

    /** Keeps a connection alive and shows that it still carries data. */
    @Serializable
    @SerialName("b")
    data class Heartbeat(val number: Long) : PeerMessage()
}
