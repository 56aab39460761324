package org.cicadaarch.placement

import kotlin.test.Test
import kotlin.test.assertEquals

class RendezvousHashTest {
    @Test
    fun `Given twelve members, when one leaves, then the order of the others stays the same for all keys`() {
        val members = (1..12).map { "engine-$it" }
        (1..1_000).forEach { number ->
            val key = "chat-$number"
            val before = RendezvousHash.rank(key = key, members = members, name = { it })
            val after = RendezvousHash.rank(key = key, members = members - "engine-5", name = { it })
            assertEquals(before - "engine-5", after)
        }
    }
}
