package org.cicadaarch.membership

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.membership.MembershipMessage.Ack
import org.cicadaarch.membership.MembershipMessage.Gossip
import org.cicadaarch.membership.MembershipMessage.IndirectAck
import org.cicadaarch.membership.MembershipMessage.Ping
import org.cicadaarch.membership.MembershipMessage.PingRequest
import org.cicadaarch.membership.MembershipMessage.SyncReply
import org.cicadaarch.membership.MembershipMessage.SyncRequest
import org.cicadaarch.model.Revision
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import org.junit.jupiter.params.provider.ValueSource

class MembershipCodecTest {
    @ParameterizedTest
    @MethodSource("messages")
    fun `Given a message, when it is encoded, then it decodes to an equal one and no truncation makes decoding throw`(
        message: MembershipMessage,
    ) {
        val datagram = MembershipCodec.encode(message)
        assertEquals(message, MembershipCodec.decode(datagram))
        datagram.indices.forEach { MembershipCodec.decode(datagram.copyOf(it)) }
    }

    @Test
    fun `Given random bytes, when they are decoded, then no exception is thrown`() {
        val random = Random(1)
        repeat(20_000) { MembershipCodec.decode(random.nextBytes(random.nextInt(64))) }
    }

    @ParameterizedTest
    @ValueSource(ints = [1, 16, 60])
    fun `Given updates about many members with long names, when they are sent, then no datagram exceeds the limit`(
        nameLength: Int,
    ) {
        val driver = RouterDriver()
        val reporter = router("reporter").also { driver.join(it) }
        repeat(2_000) { index ->
            val name = index.toString().padStart(nameLength, 'ü')
            driver.gossip(reporter, update(router(name), Long.MAX_VALUE, MemberStatus.ALIVE))
        }
        val request = SyncRequest(driver.sender(reporter), buckets = 1_024, first = 0, digests = List(32) { it })
        val sent = driver.run(20.seconds).sends() + driver.receive(request).sends()
        val largest = sent.maxOf { MembershipCodec.encode(it.message).size }
        assertContains(800..MembershipSettings().packetLimit, largest)
    }

    companion object {
        private val sender = Sender(
            id = router("a").id,
            incarnation = 3,
            profile = MemberProfile.of(router("a")),
            tableDigest = -7,
            revision = Revision(12),
            hasSuspicions = true,
        )
        private val updates = MemberStatus.entries.map { update(router("b"), Long.MAX_VALUE, it) }

        @JvmStatic
        fun messages(): List<MembershipMessage> = listOf(
            Ping(sender, sequence = 1, updates = updates),
            Ack(sender, sequence = Int.MAX_VALUE),
            PingRequest(sender, sequence = 2, host = "10.0.0.1", port = 7_400, updates = updates),
            IndirectAck(sender, sequence = 2, reached = updates.last()),
            IndirectAck(sender, sequence = 2, reached = null, updates = updates),
            Gossip(sender, updates),
            SyncRequest(sender, buckets = 64, first = 32, digests = listOf(0, -1, Int.MIN_VALUE)),
            SyncReply(sender, buckets = 64, next = 40, records = updates),
        )
    }
}
