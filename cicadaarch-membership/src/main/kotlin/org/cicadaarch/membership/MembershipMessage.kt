package org.cicadaarch.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Messages between the membership reducers of two routers; each is one UDP datagram within the packet limit.
 *
 * Every message names its [sender] and carries [updates] on other routers. Sequence numbers are the prober's own.
 */
@Serializable
sealed class MembershipMessage {
    abstract val sender: Sender
    abstract val updates: List<MemberUpdate>

    /** Asks the receiver for an [Ack]. */
    @Serializable
    @SerialName("p")
    data class Ping(
        @SerialName("f") override val sender: Sender,
        @SerialName("q") val sequence: Int,
        @SerialName("u") override val updates: List<MemberUpdate> = emptyList(),
    ) : MembershipMessage()

    /** Answers the [Ping] with the same [sequence]. */
    @Serializable
    @SerialName("a")
    data class Ack(
        @SerialName("f") override val sender: Sender,
        @SerialName("q") val sequence: Int,
        @SerialName("u") override val updates: List<MemberUpdate> = emptyList(),
    ) : MembershipMessage()

    /** Asks the receiver to probe the router at [host] and [port] in the sender's place. */
    @Serializable
    @SerialName("r")
    data class PingRequest(
        @SerialName("f") override val sender: Sender,
        @SerialName("q") val sequence: Int,
        @SerialName("h") val host: String,
        @SerialName("p") val port: Int,
        @SerialName("u") override val updates: List<MemberUpdate> = emptyList(),
    ) : MembershipMessage()

    /** Answers the [PingRequest] with the same [sequence]: [reached] is who answered, or null when nobody did. */
    @Serializable
    @SerialName("i")
    data class IndirectAck(
        @SerialName("f") override val sender: Sender,
        @SerialName("q") val sequence: Int,
        @SerialName("o") val reached: MemberUpdate? = null,
        @SerialName("u") override val updates: List<MemberUpdate> = emptyList(),
    ) : MembershipMessage()

    /** Only passes on [updates]; not answered. */
    @Serializable
    @SerialName("g")
    data class Gossip(
        @SerialName("f") override val sender: Sender,
        @SerialName("u") override val updates: List<MemberUpdate> = emptyList(),
    ) : MembershipMessage()

    /**
     * Asks for the records of the buckets from [first] on whose digests differ from the sender's [digests], where the
     * member table is divided into [buckets] buckets by a hash of the identity.
     */
    @Serializable
    @SerialName("s")
    data class SyncRequest(
        @SerialName("f") override val sender: Sender,
        @SerialName("b") val buckets: Int,
        @SerialName("o") val first: Int,
        @SerialName("d") val digests: List<Int>,
        @SerialName("u") override val updates: List<MemberUpdate> = emptyList(),
    ) : MembershipMessage()

    /**
     * Answers a [SyncRequest] with [records], up to the bucket before [next]. When [buckets] is not what was asked
     * for, nothing was compared and the sender proposes that number of buckets.
     */
    @Serializable
    @SerialName("t")
    data class SyncReply(
        @SerialName("f") override val sender: Sender,
        @SerialName("b") val buckets: Int,
        @SerialName("n") val next: Int,
        @SerialName("e") val records: List<MemberUpdate> = emptyList(),
        @SerialName("u") override val updates: List<MemberUpdate> = emptyList(),
    ) : MembershipMessage()
}
