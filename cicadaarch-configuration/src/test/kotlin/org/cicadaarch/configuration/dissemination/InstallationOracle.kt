package org.cicadaarch.configuration.dissemination

import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.fleet.FleetDocument

/**
 * What must hold of all installations: each is an accepted, valid document of its revision, and none reverts.
 */
class InstallationOracle {
    private val accepted = sortedMapOf<Revision, FleetDocument?>()
    private val inForce = mutableMapOf<RouterId, Revision>()

    /** The store accepted [document], null when it is invalid, at [revision]. */
    fun accepted(revision: Revision, document: FleetDocument?) {
        accepted[revision] = document
    }

    fun installed(router: RouterId, revision: Revision, document: FleetDocument) {
        val before = inForce.put(router, revision) ?: Revision.NONE
        assertTrue(revision > before, "$router reverts from $before to $revision")
        val expected = assertNotNull(accepted[revision], "$router installs $revision, which is no valid document")
        assertEquals(expected, document, "$router installs another document than was accepted at $revision")
    }

    fun assertInForce(routers: Collection<RouterId>, revision: Revision) {
        val late = routers.filter { (inForce[it] ?: Revision.NONE) < revision }
        assertEquals(
            emptyList(),
            late,
            "$revision is not in force in time; it is on ${routers.size - late.size} routers",
        )
    }
}
