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
 * A message from one router to another. Delivery may fail, repeat or reorder; the roles allow for it.
 */
@Serializable
sealed class PeerMessage {
    /** The first message on a connection: who speaks. */
    @Serializable
    @SerialName("h")
    data class Hello(val sender: RouterId) : PeerMessage()

    /** From the ingress of a request to an admission owner. */
    @Serializable
    @SerialName("ao")
    data class ToAdmissionOwner(val message: AdmissionMessage) : PeerMessage()

    /** From an admission owner to the ingress of a request. */
    @Serializable
    @SerialName("ai")
    data class ToIngress(val message: AdmissionMessage) : PeerMessage()

    /** From the ingress of a keyed request to a shard owner of the ledger. */
    @Serializable
    @SerialName("lo")
    data class ToShardOwner(val message: LedgerMessage.ForOwner) : PeerMessage()

    /** From a shard owner of the ledger to the ingress of a keyed request. */
    @Serializable
    @SerialName("lc")
    data class ToClaimant(val message: LedgerMessage.ForIngress) : PeerMessage()

    /** Between an ingress and the quota owner of a client account. */
    @Serializable
    @SerialName("q")
    data class ToQuota(val message: QuotaMessage) : PeerMessage()

    /** From the configuration of one router to that of another. */
    @Serializable
    @SerialName("c")
    data class ToConfiguration(val message: ConfigurationMessage) : PeerMessage()

    /** To every ingress: [attempt] of a request with [fingerprint] ended with its target's connection. */
    @Serializable
    @SerialName("x")
    data class CrashReported(val fingerprint: Fingerprint, val attempt: AttemptId) : PeerMessage()

    /** Keeps a connection alive and proves that it still carries data. */
    @Serializable
    @SerialName("b")
    data class Heartbeat(val number: Long) : PeerMessage()
}
