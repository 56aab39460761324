package org.cicadaarch.testkit

import java.util.concurrent.CompletableFuture
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFails
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

class EngineStandInTest {
    private val opened = mutableListOf<AutoCloseable>()

    @AfterTest
    fun close() = opened.forEach { it.close() }

    @ParameterizedTest
    @MethodSource("answerCases")
    fun `Given a chat, when it is answered, then the text is whole and its own`(case: AnswerCase) {
        val headers = case.offset?.let { mapOf("x-cicadaarch-resume-offset" to it.toString()) }.orEmpty()
        val answer = http(engine()).post(CHAT, case.body, headers).body()
        val expected = AnswerText.text(case.body, from = case.offset ?: 0, until = case.tokens)
        assertEquals(expected, if (case.streaming) streamText(answer) else completionText(answer))
        assertEquals(case.streaming, answer.endsWith("data: [DONE]\n\n"))
    }

    @Test
    fun `Given a chat that returns, when its prompt extends the first, then the cached tokens are reported`() {
        val http = http(engine())
        val first = """{"messages":[{"role":"user","content":"12345678"}],"max_tokens":4}"""
        val reply = completionText(http.post(CHAT, first).body())
        val second = """{"messages":[{"role":"user","content":"12345678"},{"role":"assistant","content":"$reply"},""" +
            """{"role":"user","content":"9"}]}"""
        val usage = testkitJson.parseToJsonElement(
            http.post(CHAT, second).body(),
        ).jsonObject.getValue("usage").jsonObject
        val cached = 2 + (reply.length + 3) / 4
        assertEquals(ChatUsage.of(prompt = cached + 1, cached = cached, completion = 16), usageOf(usage))
    }

    @Test
    fun `Given one slot, when two chats come, then one waits and a closed connection cancels the other`() {
        val engine = engine(EngineOptions(slots = 1, decodeInterval = 1.hours))
        val first = inBackground { http(engine).post(CHAT, chat("first"), mapOf("x-cicadaarch-request" to "1")) }
        eventually({ load(engine) }) { it.running == 1 }
        inBackground { http(engine).post(CHAT, chat("second"), mapOf("x-cicadaarch-request" to "2")) }
        eventually({ load(engine) }) { it.waiting == 1 }
        first.cancel(true)
        eventually({ ran(engine) }) { runs ->
            runs.map { it.request to it.cancelled } ==
                listOf("1" to true, "2" to false)
        }
    }

    @Test
    fun `Given a text that crashes the engine, when it comes twice, then both are counted and others run after`() {
        val engine = engine()
        http(engine.controlPort).post("/fault", """{"mode":"crash-on","text":"poison"}""")
        repeat(2) {
            eventually({ runCatching { http(engine).get("/load") } }) { it.isSuccess }
            assertFails { http(engine).post(CHAT, chat("poison")) }
        }
        eventually({ runCatching { http(engine).post(CHAT, chat("good")).statusCode() } }) { it.getOrNull() == 200 }
        assertEquals("""{"crashes":2}""", http(engine.controlPort).get("/crashes"))
        assertEquals(listOf(true, true, false), ran(engine).map { it.finished == null })
    }

    @Test
    fun `Given an open connection, when the engine goes silent, then it carries no answer and a new one does`() {
        val engine = engine(EngineOptions(decodeInterval = 100.milliseconds))
        val old = inBackground { http(engine).post(CHAT, chat("old")) }
        eventually({ ran(engine) }) { it.size == 1 }
        http(engine.controlPort).post("/fault", """{"mode":"silent"}""")
        assertEquals(200, http(engine).post(CHAT, chat("new")).statusCode())
        eventually({ ran(engine) }) { runs -> runs.all { it.finished != null } }
        assertEquals(false, old.isDone)
    }

    @ParameterizedTest
    @MethodSource("orderCases")
    fun `Given an engine with an order, when an order comes, then it is followed or refused`(case: OrderCase) {
        val http = http(engine(EngineOptions(checksFencing = case.checksFencing)))
        http.post("/orders", order(fencingNumber = 5, version = "first"))
        val status = http.post("/orders", order(case.fencingNumber, version = "second")).statusCode()
        val state = testkitJson.decodeFromString<EngineOrderState>(http.get("/state"))
        assertEquals(case.status to case.version, status to state.order?.version)
        assertEquals(maxOf(5, case.fencingNumber), state.highestFencingNumber)
    }

    @Test
    fun `Given a cache beyond its limit, when it is exported and imported, then the events tell of both`() {
        val small = http(engine(EngineOptions(cacheTokens = 3)))
        small.post(CHAT, """{"messages":[{"role":"user","content":"12345678"}],"max_tokens":1}""")
        val export = testkitJson.decodeFromString<CacheExport>(small.get("/cache/export"))
        assertEquals(listOf(2), export.prefixes.map { it.tokens })
        val other = http(engine())
        other.post("/cache/import", testkitJson.encodeToString(export))
        val events = testkitJson.decodeFromString<List<CacheEvent>>(other.get("/cache/events?after=0"))
        assertEquals(listOf(CacheEvent(1, CacheEvent.Kind.STORED, export.prefixes.single().hash, 2)), events)
        val kinds = testkitJson.decodeFromString<List<CacheEvent>>(small.get("/cache/events?after=1")).map { it.kind }
        assertEquals(listOf(CacheEvent.Kind.STORED, CacheEvent.Kind.EVICTED), kinds)
    }

    @Test
    fun `Given seeded gaps, when events are read twice from equal engines, then the same ones are missing`() {
        val sequences = List(2) {
            val http = http(engine(EngineOptions(eventGapShare = 0.5, seed = 3)))
            repeat(8) { http.post(CHAT, chat("chat $it")) }
            testkitJson.decodeFromString<List<CacheEvent>>(http.get("/cache/events?after=0")).map { it.sequence }
        }
        assertEquals(sequences[0], sequences[1])
        assertEquals(true, sequences[0].size in 1..15)
    }

    data class AnswerCase(val body: String, val tokens: Int, val streaming: Boolean, val offset: Int? = null)

    data class OrderCase(val checksFencing: Boolean, val fencingNumber: Long, val status: Int, val version: String)

    private fun engine(options: EngineOptions = EngineOptions(decodeInterval = Duration.ZERO)): EngineStandIn =
        EngineStandIn(options = options).also { opened += it }

    private fun http(engine: EngineStandIn): LoopbackHttp = LoopbackHttp(engine.port)

    private fun http(port: Int): LoopbackHttp = LoopbackHttp(port)

    private fun load(engine: EngineStandIn): EngineLoad =
        testkitJson.decodeFromString(http(engine.controlPort).get("/load"))

    private fun ran(engine: EngineStandIn): List<RunRecord> =
        testkitJson.decodeFromString(http(engine.controlPort).get("/ran"))

    private fun order(fencingNumber: Long, version: String): String =
        testkitJson.encodeToString(EngineOrder(fencingNumber, model = "m", version = version, role = "mixed"))

    private fun streamText(answer: String): String = answer
        .split("\n\n")
        .filter { it.startsWith("data: {") }
        .map { testkitJson.parseToJsonElement(it.removePrefix("data: ")).jsonObject }
        .joinToString(separator = "") {
            choice(it).getValue("delta").jsonObject["content"]?.jsonPrimitive?.content.orEmpty()
        }

    private fun completionText(answer: String): String = choice(testkitJson.parseToJsonElement(answer).jsonObject)
        .getValue("message").jsonObject.getValue("content").jsonPrimitive.content

    private fun choice(body: JsonObject): JsonObject = body.getValue("choices").jsonArray.single().jsonObject

    private fun usageOf(body: JsonObject): ChatUsage = testkitJson.decodeFromString(body.toString())

    private fun <T> inBackground(action: () -> T): CompletableFuture<T> {
        val result = CompletableFuture<T>()
        val thread = Thread { runCatching(action).onSuccess { result.complete(it) } }
        thread.isDaemon = true
        thread.start()
        result.whenComplete { _, _ -> if (result.isCancelled) thread.interrupt() }
        return result
    }

    companion object {
        private const val CHAT = "/v1/chat/completions"

        private fun chat(text: String, streaming: Boolean = false): String =
            """{"model":"m","messages":[{"role":"user","content":"$text"}],"stream":$streaming}"""

        @JvmStatic
        fun answerCases(): List<AnswerCase> = listOf(
            AnswerCase(chat("plain"), tokens = 16, streaming = false),
            AnswerCase(chat("plain", streaming = true), tokens = 16, streaming = true),
            AnswerCase(chat("plain", streaming = true), tokens = 16, streaming = true, offset = 7),
            AnswerCase(chat("plain", streaming = true), tokens = 16, streaming = true, offset = 16),
            AnswerCase(
                body = """{"messages":[{"role":"user","content":[{"type":"text","text":"part"}]}],"max_tokens":3}""",
                tokens = 3,
                streaming = false,
            ),
        )

        @JvmStatic
        fun orderCases(): List<OrderCase> = listOf(
            OrderCase(checksFencing = true, fencingNumber = 4, status = 409, version = "first"),
            OrderCase(checksFencing = true, fencingNumber = 5, status = 200, version = "second"),
            OrderCase(checksFencing = true, fencingNumber = 6, status = 200, version = "second"),
            OrderCase(checksFencing = false, fencingNumber = 4, status = 200, version = "second"),
        )
    }
}
