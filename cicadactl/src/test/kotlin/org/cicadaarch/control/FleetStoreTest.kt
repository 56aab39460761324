package org.cicadaarch.control

import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.configuration.dissemination.StoreKeys
import org.cicadaarch.control.LossyStore.Fault
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

class FleetStoreTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `Given faults of the store, when a document is written, then the result states whether it took effect`(
        case: Case,
    ) {
        val store = LossyStore(case.faults)
        store.put(StoreKeys.FLEET_DOCUMENT, "first")
        val result = FleetStore(store, timeout = 1.seconds, attempts = 3, pause = 1.milliseconds).write("mine", 1)
        assertEquals(case.outcome, result.fold({ it::class.simpleName.orEmpty() }, { "written at $it" }))
        assertEquals(case.texts, store.texts.drop(1))
    }

    /** With [faults], the write has [outcome], and the store's documents after the first one are [texts]. */
    data class Case(val faults: List<Fault>, val outcome: String, val texts: List<String>)

    companion object {
        private const val MINE = "mine"
        private const val OTHER = LossyStore.OTHER

        @JvmStatic
        fun cases(): List<Case> = listOf(
            Case(listOf(), "written at 2", listOf(MINE)),
            Case(listOf(Fault.REFUSED), "written at 2", listOf(MINE)),
            Case(listOf(Fault.LOST), "written at 2", listOf(MINE)),
            Case(listOf(Fault.RESPONSE_LOST), "written at 2", listOf(MINE)),
            Case(listOf(Fault.RESPONSE_LOST_BEFORE_OTHER_WRITE), "written at 2", listOf(MINE, OTHER)),
            Case(listOf(Fault.LOST_BEFORE_OTHER_WRITE), "Conflict", listOf(OTHER)),
            Case(listOf(Fault.REFUSED, Fault.LOST_BEFORE_OTHER_WRITE), "Conflict", listOf(OTHER)),
            Case(List(3) { Fault.REFUSED }, "Unreachable", listOf()),
            Case(List(3) { Fault.LOST }, "Unsettled", listOf()),
        )
    }
}
