package org.cicadaarch.forwarding.peer

import kotlin.test.Test
import kotlin.test.assertEquals
import org.cicadaarch.dispatch.observation.PromptId
import org.cicadaarch.model.ServiceName

class DemandLevelsTest {
    @Test
    fun `Given a demand that changes, when it passes the minimum or doubles, then others are to know at once`() {
        val levels = DemandLevels(minimum = 4.0)
        val demands = listOf(1.0, 3.9, 4.0, 7.9, 8.1, 8.0, 15.0, 40.0, 5.0, 0.0, 4.5)
        val risen = demands.map { levels.haveRisen(mapOf(PROMPT to it)) }
        assertEquals(listOf(false, false, true, false, true, false, false, true, false, false, true), risen)
    }

    private companion object {
        val PROMPT = PromptId.of(ServiceName("service"), "prompt")
    }
}
