package org.cicadaarch.router.caller

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.cicadaarch.router.RouterFixture
import org.cicadaarch.router.RouterFixture.Companion.AUTHORIZATION
import org.cicadaarch.router.RouterFixture.Companion.MAXIMUM_BODY_BYTES
import org.cicadaarch.router.RouterFixture.Companion.chat
import org.cicadaarch.router.RouterFixture.Companion.chatBody
import org.cicadaarch.testkit.AnswerText
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import org.junit.jupiter.params.provider.ValueSource

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class HostileRequestTest {
    private val fixture = RouterFixture()

    @AfterAll
    fun stop() = fixture.close()

    @ParameterizedTest
    @MethodSource("requests")
    fun `Given a hostile request, when it is sent, then it gets a clear error and another caller the whole answer`(
        request: HostileRequest,
    ) = besideGoodRequest {
        fixture.connect().use { connection ->
            connection.send(request.bytes)
            val answer = connection.read()
            assertEquals(request.status, answer.status, answer.body)
            assertEquals(request.code, answer.errorCode)
            assertEquals("application/json", answer.headers["content-type"])
        }
        assertTrue(fixture.logLines.none { RouterFixture.SECRET in it || WRONG_SECRET in it })
    }

    @ParameterizedTest
    @ValueSource(ints = [1, 30, 100, 200])
    fun `Given part of a request, when its caller closes, then another caller gets the whole answer`(length: Int) =
        besideGoodRequest {
            fixture.connect().use { it.send(chat(chatBody("half", TOKENS)).toByteArray().copyOf(length)) }
        }

    @Test
    fun `Given a plain service, when it is called, then the connection serves the next request too`() {
        fixture.connect().use { connection ->
            val call = "PUT /services/ledger/entries HTTP/1.1\r\n$AUTHORIZATION\r\ncontent-length: 2\r\n\r\n{}"
            repeat(2) { assertEquals(200, connection.ask(call).status) }
        }
    }

    private fun besideGoodRequest(action: () -> Unit) {
        val body = chatBody("good", TOKENS, stream = true)
        fixture.connect().use { good ->
            good.send(chat(body).toByteArray())
            action()
            assertEquals(AnswerText.text(body, until = TOKENS), good.read().text)
        }
    }

    companion object {
        private const val TOKENS = 200
        private const val WRONG_SECRET = "persimmon-wrong-secret"
        private const val DEPTH = 30_000
        private val GOOD_BODY = chatBody("text", TOKENS)
        private val BIG_BODY = "x".repeat(MAXIMUM_BODY_BYTES + 1)
        private const val CHUNKED =
            "POST /v1/chat/completions HTTP/1.1\r\n$AUTHORIZATION\r\ntransfer-encoding: chunked\r\n\r\n"

        @JvmStatic
        fun requests(): List<HostileRequest> = bytes() + bodies() + headers() + credentials()

        private fun bytes(): List<HostileRequest> = listOf(
            HostileRequest(
                "garbage",
                400,
                "bad-http",
                ByteArray(500) { (it * 37 or 0x80).toByte() } + "\r\n\r\n".toByteArray(),
            ),
            HostileRequest("one word", 400, "bad-http", "garbage\r\n\r\n"),
            HostileRequest("long request line", 414, "line-too-long", "GET /${"x".repeat(100_000)} HTTP/1.1\r\n\r\n"),
            HostileRequest("long head", 431, "head-too-large", chat(GOOD_BODY, listOf("x: ${"x".repeat(100_000)}"))),
            HostileRequest("many headers", 431, "head-too-large", chat(GOOD_BODY, List(5_000) { "x-$it: value" })),
            HostileRequest("header without colon", 400, "bad-http", "GET / HTTP/1.1\r\nbad header\r\n\r\n"),
            HostileRequest(
                "length that is no number",
                400,
                "bad-http",
                "POST / HTTP/1.1\r\ncontent-length: ten\r\n\r\n",
            ),
            HostileRequest("negative length", 400, "bad-http", "POST / HTTP/1.1\r\ncontent-length: -5\r\n\r\n"),
            HostileRequest("long body", 413, "body-too-large", chat(BIG_BODY)),
            HostileRequest(
                "declared long body",
                413,
                "body-too-large",
                "POST / HTTP/1.1\r\ncontent-length: 9999999999\r\n\r\n",
            ),
            HostileRequest(
                "long body in chunks",
                413,
                "body-too-large",
                "$CHUNKED${"1000\r\n${"x".repeat(4_096)}\r\n".repeat(20)}",
            ),
            HostileRequest("bad chunk size", 400, "bad-http", "${CHUNKED}zz\r\n"),
        )

        private fun bodies(): List<HostileRequest> = listOf(
            HostileRequest("empty body", 400, "bad-json", chat("")),
            HostileRequest("half JSON", 400, "bad-json", chat("""{"model":""")),
            HostileRequest("text after JSON", 400, "bad-json", chat("$GOOD_BODY}")),
            HostileRequest("JSON list", 400, "bad-json", chat("[]")),
            HostileRequest("JSON text", 400, "bad-json", chat("\"text\"")),
            HostileRequest("nested JSON lists", 400, "bad-json", chat("[".repeat(DEPTH) + "]".repeat(DEPTH))),
            HostileRequest("nested content", 400, "bad-json", chat(nestedContent())),
            HostileRequest("no model", 400, "missing-model", chat("{}")),
            HostileRequest("model null", 400, "missing-model", chat("""{"model":null}""")),
            HostileRequest("model list", 400, "missing-model", chat("""{"model":[]}""")),
            HostileRequest("empty model", 404, "not-found", chat("""{"model":""}""")),
            HostileRequest("unknown model", 404, "not-found", chat("""{"model":"none","messages":[]}""")),
            HostileRequest("plain service as model", 404, "not-found", chat("""{"model":"ledger","messages":[]}""")),
            HostileRequest("no messages", 400, "missing-messages", chat("""{"model":"model"}""")),
            HostileRequest("unknown path", 404, "not-found", "GET /none HTTP/1.1\r\n$AUTHORIZATION\r\n\r\n"),
            HostileRequest("no service", 404, "not-found", "GET /services/ HTTP/1.1\r\n$AUTHORIZATION\r\n\r\n"),
            HostileRequest(
                "model as service",
                404,
                "not-found",
                "GET /services/model HTTP/1.1\r\n$AUTHORIZATION\r\n\r\n",
            ),
        )

        private fun nestedContent(): String =
            """{"model":"model","messages":[{"content":${"[".repeat(DEPTH) + "]".repeat(DEPTH)}}]}"""

        private fun headers(): List<HostileRequest> = listOf(
            "x-priority: urgent",
            "x-deadline-milliseconds: 0",
            "x-deadline-milliseconds: soon",
            "x-deadline-milliseconds: 99999999999999999999",
            "x-chat-turn: 0",
            "x-chat-turn: 1.5",
            "x-chat-id: ${"x".repeat(201)}",
            "x-chat-id: ",
            "idempotency-key: ${"x".repeat(201)}",
        ).map { HostileRequest(it.take(40), 400, "bad-header", chat(GOOD_BODY, listOf(AUTHORIZATION, it))) }

        private fun credentials(): List<HostileRequest> = listOf(
            emptyList(),
            listOf("authorization: Bearer"),
            listOf("authorization: Basic desk:${RouterFixture.SECRET}"),
            listOf("authorization: Bearer ${RouterFixture.SECRET}"),
            listOf("authorization: Bearer desk:$WRONG_SECRET"),
            listOf("authorization: Bearer desk:"),
            listOf("authorization: Bearer nobody:${RouterFixture.SECRET}"),
        ).map { HostileRequest("credentials $it", 401, "unauthorized", chat(GOOD_BODY, it)) }
    }
}
