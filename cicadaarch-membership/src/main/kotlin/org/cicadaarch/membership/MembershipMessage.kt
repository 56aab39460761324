package org.cicadaarch.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Messages of the membership protocol; each is sent as one UDP datagram within the packet limit.
 *
 * Every message has a header, [sender], and can piggyback [updates] about any routers. Sequence numbers are chosen by
 * the router that probes and identify only its own probes.
 */
@Serializable
sealed class MembershipMessage {
    abstract val sender: Sender
    abstract val updates: List<MemberUpdate>

    /** A direct probe; the receiver responds with an [Ack]. */
    @Serializable
    @SerialName("p")
    data class Ping(
        @SerialName("f") override val sender: Sender,
        @SerialName("q") val sequence: Int,
        @SerialName("u") override val updates: List<MemberUpdate> = emptyList(),
    ) : MembershipMessage()

    /** The response to the [Ping] with the same [sequence]. */
    @Serializable
    @SerialName("a")
    data class Ack(
        @SerialName("f") override val sender: Sender,
        @SerialName("q") val sequence: Int,
        @SerialName("u") override val updates: List<MemberUpdate> = emptyList(),
    ) : MembershipMessage()

    /** Asks a helper to probe the router at [host] and [port] on behalf of the sender (ping-req in SWIM). */
    @Serializable
    @SerialName("r")
    data class PingRequest(
        @SerialName("f") override val sender: Sender,
        @SerialName("q") val sequence: Int,
        @SerialName("h") val host: String,
        @SerialName("p") val port: Int,
        @SerialName("u") override val updates: List<MemberUpdate> = emptyList(),
    ) : MembershipMessage()

    /**
     * The response to the [PingRequest] with the same [sequence].
     *
     * [reached] is the router that responded to the helper. When it is null, none did in time, and this message is a
     * negative acknowledgement.
     */
    @Serializable
    @SerialName("i")
    data class IndirectAck(
        @SerialName("f") override val sender: Sender,
        @SerialName("q") val sequence: Int,
        @SerialName("o") val reached: MemberUpdate? = null,
        @SerialName("u") override val updates: List<MemberUpdate> = emptyList(),
    ) : MembershipMessage()

    /** Carries [updates] only; it has no response. */
    @Serializable
    @SerialName("g")
    data class Gossip(
        @SerialName("f") override val sender: Sender,
        @SerialName("u") override val updates: List<MemberUpdate> = emptyList(),
    ) : MembershipMessage()

    /**
     * Starts or continues an anti-entropy exchange.
     *
     * The member table is divided into [buckets] buckets by a hash of the router ID. The [digests] are those of the
     * sender's buckets from [first] on; the receiver responds with the records of the buckets whose digests differ.
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
     * The response to a [SyncRequest].
     *
     * It carries the [records] of differing buckets; all buckets before [next] are compared. When [buckets] differs
     * from the request, nothing was compared and the exchange is to restart with that number of buckets.
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
