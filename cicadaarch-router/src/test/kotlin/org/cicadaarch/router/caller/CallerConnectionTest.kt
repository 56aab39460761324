package org.cicadaarch.router.caller

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.cicadaarch.router.Conditions
import org.cicadaarch.router.RouterFixture
import org.cicadaarch.router.RouterFixture.Companion.chat
import org.cicadaarch.router.RouterFixture.Companion.chatBody
import org.cicadaarch.testkit.AnswerText
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.TestInstance

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class CallerConnectionTest {
    private val fixture = RouterFixture()

    @AfterAll
    fun stop() = fixture.close()

    @Test
    fun `Given pipelined requests, when they are answered, then each answer is whole and in order`() {
        val bodies = List(5) { chatBody("pipelined $it", tokens = 20 + it, stream = it % 2 == 0) }
        fixture.connect().use { connection ->
            connection.send(bodies.joinToString(separator = "") { chat(it) }.toByteArray())
            bodies.forEachIndexed { index, body ->
                assertEquals(AnswerText.text(body, until = 20 + index), connection.read().text)
            }
        }
    }

    @Test
    fun `Given requests that cross on two connections, when they are answered, then each gets its own text`() {
        val bodies = List(2) { chatBody("crossing $it", tokens = 300, stream = true) }
        val connections = bodies.map { body -> fixture.connect().also { it.send(chat(body).toByteArray()) } }
        connections.zip(bodies).reversed().forEach { (connection, body) ->
            connection.use { assertEquals(AnswerText.text(body, until = 300), it.read().text) }
        }
    }

    @Test
    fun `Given a caller that is gone, when its answer is under way, then the engine cancels the run`() {
        val earlierRuns = startedRuns()
        fixture.connect().use { connection ->
            connection.send(chat(chatBody("gone", tokens = 10_000_000, stream = true)).toByteArray())
            Conditions.await("the engine runs the request") { startedRuns() > earlierRuns }
        }
        Conditions.await("the run is cancelled") { "\"cancelled\":true" in fixture.engineRuns() }
    }

    @Test
    fun `Given the most connections, when another comes, then it gets an error`() =
        RouterFixture(maximumConnections = 1).use { small ->
            small.connect().use { first ->
                val body = chatBody("first", tokens = 3)
                assertEquals(200, first.ask(chat(body)).status)
                small.connect().use { second -> assertEquals("too-many-connections", second.ask(chat(body)).errorCode) }
                assertTrue(first.ask(chat(body)).status == 200)
            }
        }

    private fun startedRuns(): Int = "\"started\"".toRegex().findAll(fixture.engineRuns()).count()
}
