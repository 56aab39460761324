package org.cicadaarch.experiment.membership

import kotlin.test.Test
import kotlin.test.assertNotNull
import kotlin.time.Duration.Companion.seconds

class MembershipScenarioTest {
    @Test
    fun `Given seven new routers, when they start, then all views list all of them`() {
        val fleet = probingFleet()
        fleet.startAll()
        assertNotNull(fleet.runUntilAgreed(limit = 5.seconds))
    }

    @Test
    fun `Given seven routers, when one crashes, then all other views drop it`() {
        val fleet = probingFleet()
        fleet.startAll()
        fleet.network.run(5.seconds)
        fleet.crash(2)
        assertNotNull(fleet.runUntilAgreed(limit = 10.seconds))
    }
}
