package org.cicadaarch.configuration.dissemination

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlinx.serialization.json.Json
import org.cicadaarch.configuration.FleetDocumentWriter
import org.cicadaarch.configuration.FullSizeDocument
import org.cicadaarch.model.Revision
import org.cicadaarch.model.store.StoreResult

class ConfigurationReducerTest {
    @Test
    fun `Given seven to 360 routers, when a minute passes with a change, then the store's calls stay the same`() {
        val calls = listOf(7 to 1, 60 to 1, 360 to 1, 12 to 3, 360 to 3).associateWith { (size, regions) ->
            val fleet = SimulatedFleet(size = size, seed = 3, regions = regions)
            fleet.clock.advance(2_000)
            val before = fleet.store.calls
            val inForceAfter = millisecondsUntilInForce(fleet, apply(fleet, 1))
            println("$size routers in $regions regions run a change after $inForceAfter ms")
            fleet.clock.advance(60_000 - inForceAfter)
            fleet.store.calls - before
        }
        println("store calls a minute by routers and regions: $calls")
        calls.forEach { (fleet, count) -> assertTrue(count in 85 * fleet.second..95 * fleet.second, "$fleet: $count") }
    }

    @Test
    fun `Given 360 routers, when a revision spreads, then each router sends a bounded number of messages`() {
        val perRouter = listOf(7, 60, 360).associateWith { size ->
            val fleet = SimulatedFleet(size = size, seed = 5)
            apply(fleet, 1)
            fleet.clock.advance(8_000)
            val quiet = messagesIn(fleet, milliseconds = 8_000)
            apply(fleet, 2)
            (messagesIn(fleet, milliseconds = 8_000) - quiet) / size.toDouble()
        }
        println("messages a router for one change, by routers: $perRouter")
        perRouter.forEach { (size, messages) -> assertTrue(messages < 16, "$size routers: $messages messages each") }
    }

    @Test
    fun `Given the store is down for an hour, when routers start, then they take the newest revision from peers`() {
        val fleet = SimulatedFleet(size = 12, seed = 11)
        val last = listOf(1, 2, 3).map { apply(fleet, it) }.last()
        fleet.clock.advance(6_000)
        fleet.store.isDown = true
        val before = fleet.store.calls
        repeat(6) {
            fleet.clock.advance(600_000)
            fleet.stop(fleet.routers.keys.first())
            val started = fleet.start()
            fleet.clock.advance(5_000)
            fleet.oracle.assertInForce(listOf(started.info.id), last)
        }
        val callsPerSecond = (fleet.store.calls - before) / fleet.clock.now.milliseconds.div(1_000.0)
        assertTrue(callsPerSecond < 3, "three watchers call a store that is down $callsPerSecond times a second")
        fleet.store.isDown = false
        val next = apply(fleet, 4)
        fleet.clock.advance(6_000)
        fleet.oracle.assertInForce(fleet.routers.keys, next)
    }

    @Test
    fun `Given a router paused for an hour, when it wakes, then it has the newest revision within a second`() {
        val fleet = SimulatedFleet(size = 9, seed = 13)
        apply(fleet, 1)
        fleet.clock.advance(6_000)
        val paused = fleet.routers.values.first()
        fleet.freeze(paused)
        fleet.clock.advance(1_800_000)
        val newest = apply(fleet, 2)
        fleet.clock.advance(1_800_000)
        fleet.thaw(paused)
        fleet.clock.advance(1_000)
        fleet.oracle.assertInForce(fleet.routers.keys, newest)
    }

    @Test
    fun `Given routers in three regions, when the status is wanted anywhere, then all are counted`() {
        val fleet = SimulatedFleet(size = 60, seed = 17, regions = 3)
        fleet.clock.advance(2_000)
        val revision = apply(fleet, 1)
        fleet.clock.advance(8_000)
        fleet.routers.values.forEach { fleet.deliver(it, ConfigurationEvent.StatusRequested) }
        fleet.clock.advance(1_000)
        val counts = fleet.routers.values.map { it.state.countRunningAtLeast(revision) }
        assertEquals(List(60) { 60 }, counts)
    }

    @Test
    fun `Given a document of the target size, when it is stored and sent, then it fits the store and packs small`() {
        val document = FullSizeDocument.document
        val message: ConfigurationMessage = ConfigurationMessage.DocumentSent(Revision(5), document)
        val text = Json.encodeToString(ConfigurationMessage.serializer(), message)
        assertEquals(message, Json.decodeFromString(ConfigurationMessage.serializer(), text))
        val stored = FleetDocumentWriter.write(document).length
        // The JSON form of a byte array separates its numbers with commas.
        val sent = text.count { it == ',' }
        println("bytes of a document of the target size: $stored stored, $sent sent")
        assertTrue(stored < 500_000, "half of the store's limit is left for growth")
        assertTrue(sent < 50_000)
    }

    private fun apply(fleet: SimulatedFleet, number: Int): Revision =
        Revision(assertIs<StoreResult.Written>(SimulationActions.apply(fleet, number)).revision)

    private fun millisecondsUntilInForce(fleet: SimulatedFleet, revision: Revision): Long {
        val before = fleet.clock.milliseconds
        while (fleet.routers.values.any { it.state.revision < revision }) fleet.clock.advance(10)
        return fleet.clock.milliseconds - before
    }

    private fun messagesIn(fleet: SimulatedFleet, milliseconds: Long): Int {
        val before = fleet.messages
        fleet.clock.advance(milliseconds)
        return fleet.messages - before
    }
}
