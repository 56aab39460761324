package org.cicadaarch.testkit

import kotlin.test.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

class PlainServiceStandInTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `Given a plain service, when a call comes twice, then the answers and runs are as in the table`(case: Case) {
        val options = PlainServiceOptions(service = "ledger", deduplicates = case.deduplicates)
        PlainServiceStandIn(options = options).use { service ->
            val http = LoopbackHttp(service.port)
            val headers = listOfNotNull(
                "x-cicadaarch-request" to "r",
                case.key?.let {
                    "idempotency-key" to it
                },
            ).toMap()
            val answers = List(2) { http.send("PUT", "/bookings/7?x=1", "net", headers).body() }
            val expected = case.numbers.map { PlainAnswer("ledger", "/bookings/7", BodyHash.of("net"), it) }
            assertEquals(expected, answers.map { testkitJson.decodeFromString(it) })
            val runs = testkitJson.decodeFromString<List<RunRecord>>(LoopbackHttp(service.controlPort).get("/ran"))
            assertEquals(
                List(case.numbers.toSet().size) {
                    "r" to case.key
                },
                runs.map { it.request to it.idempotencyKey },
            )
        }
    }

    data class Case(val deduplicates: Boolean, val key: String?, val numbers: List<Int>)

    companion object {
        @JvmStatic
        fun cases(): List<Case> = listOf(
            Case(deduplicates = false, key = null, numbers = listOf(1, 2)),
            Case(deduplicates = false, key = "k", numbers = listOf(1, 2)),
            Case(deduplicates = true, key = null, numbers = listOf(1, 2)),
            Case(deduplicates = true, key = "k", numbers = listOf(1, 1)),
        )
    }
}
