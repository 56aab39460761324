package org.cicadaarch.dispatch.capacity

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.cicadaarch.model.TargetId

class CapacityFilterTest {
    /** Guards against requests that run once and wait behind a target that is known to be slow. */
    @Test
    fun `Given a slow target, when requests must not be repeated, then all go elsewhere`() {
        val withheld = (1..400).map {
            withheld(limited(listOf(SLOW)), promptKey = null, mayBeRepeated = false, tieBreaker = it)
        }
        assertTrue(withheld.all { it == setOf(SLOW) })
    }

    /** Guards against a slow target whose recovery nobody notices, and against probes that are a load by themselves. */
    @Test
    fun `Given a slow target, when requests may be repeated, then a few of them may go there`() {
        for (promptKeys in listOf(false, true)) {
            val allowed = (1..REQUESTS).count { number ->
                val key = if (promptKeys) "prompt-$number" else null
                withheld(limited(listOf(SLOW)), key, mayBeRepeated = true, tieBreaker = number).isEmpty()
            }
            val fairShare = if (promptKeys) REQUESTS else REQUESTS / TARGETS.size
            assertTrue(allowed in fairShare / 20..fairShare / 3, "$allowed of $REQUESTS")
        }
    }

    /** Guards against too few targets for the load of a service. */
    @Test
    fun `Given more than half of the targets slow, when requests come, then all targets are used`() {
        val limited = limited(TARGETS.take(TARGETS.size / 2 + 1))
        assertEquals(emptySet(), withheld(limited, promptKey = null, mayBeRepeated = false, tieBreaker = 1))
    }

    /** Guards against prompts that change their target with each request and find no cache. */
    @Test
    fun `Given a target with half of its capacity, when a prompt returns, then the same decision is made for it`() {
        val limited = mapOf(SLOW to TargetCapacity(share = 0.5, relativeTime = 1.0))
        val decisions = (1..200).map { prompt ->
            (1..20).map { withheld(limited, "prompt-$prompt", mayBeRepeated = false, tieBreaker = it) }.toSet()
        }
        assertTrue(decisions.all { it.size == 1 })
        assertTrue(decisions.count { it.single().isEmpty() } in 60..140)
    }

    private fun withheld(
        limited: Map<TargetId, TargetCapacity>,
        promptKey: String?,
        mayBeRepeated: Boolean,
        tieBreaker: Int,
    ): Set<TargetId> = CapacityFilter(limited).withheld(TARGETS, promptKey, mayBeRepeated, tieBreaker)

    private fun limited(targets: List<TargetId>) =
        targets.associateWith { TargetCapacity(TargetCapacity.MIN_SHARE, relativeTime = 6.0) }

    private companion object {
        val TARGETS = List(6) { TargetId("target-$it") }
        val SLOW = TARGETS[2]
        const val REQUESTS = 6_000
    }
}
