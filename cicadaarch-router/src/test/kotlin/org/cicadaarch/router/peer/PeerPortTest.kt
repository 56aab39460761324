package org.cicadaarch.router.peer

import java.nio.ByteBuffer
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.cicadaarch.core.PeerMessage
import org.cicadaarch.protocol.PeerCodec
import org.cicadaarch.router.RawConnection
import org.cicadaarch.router.RouterFixture
import org.cicadaarch.router.RouterFixture.Companion.chat
import org.cicadaarch.router.RouterFixture.Companion.chatBody
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class PeerPortTest {
    private val fixture = RouterFixture()

    @AfterAll
    fun stop() = fixture.close()

    @ParameterizedTest
    @MethodSource("hostileBytes")
    fun `Given hostile bytes, when they come to the peer port, then the connection ends and the router goes on`(
        bytes: ByteArray,
    ) {
        repeat(2) {
            RawConnection(fixture.peerPort).use { connection ->
                connection.send(bytes)
                assertTrue(connection.isClosedByRouter())
            }
        }
        assertTrue(fixture.isReady())
        fixture.connect().use { assertEquals(200, it.ask(chat(chatBody("good", tokens = 3))).status) }
    }

    companion object {
        @JvmStatic
        fun hostileBytes(): List<ByteArray> = listOf(
            ByteArray(100) { 0xee.toByte() },
            frame(length = -1, byteArrayOf()),
            frame(length = 0, byteArrayOf()),
            frame(length = Int.MAX_VALUE, byteArrayOf()),
            frame(length = 3, byteArrayOf(0x7f, 0x61, 0x61)),
            PeerCodec.encode(PeerMessage.Heartbeat(1)).let { frame(it.size, it) },
        )

        private fun frame(length: Int, bytes: ByteArray): ByteArray =
            ByteBuffer.allocate(Int.SIZE_BYTES + bytes.size).putInt(length).put(bytes).array()
    }
}
