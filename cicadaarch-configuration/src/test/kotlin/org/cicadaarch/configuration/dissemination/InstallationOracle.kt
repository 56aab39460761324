package org.cicadaarch.configuration.dissemination

import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.fleet.FleetDocument

/**
 * Checks every installation: it must be the valid document that the store accepted at that revision, and the revision
 * must be higher than the router's previous one.
 */
class InstallationOracle {
    private val accepted = sortedMapOf<Revision, FleetDocument?>()
    private val installed = mutableMapOf<RouterId, Revision>()

    /** Records that the store accepted [document] at [revision]; null if the document is invalid. */
    fun recordAccepted(revision: Revision, document: FleetDocument?) {
        accepted[revision] = document
    }

    fun onInstalled(router: RouterId, revision: Revision, document: FleetDocument) {
        val before = installed.put(router, revision) ?: Revision.NONE
        assertTrue(revision > before, "$router went back from $before to $revision")
        val expected = assertNotNull(accepted[revision], "$router installed $revision, which is not a valid document")
        assertEquals(expected, document, "$router installed another document at $revision instead of the accepted one")
    }

    fun assertInstalled(routers: Collection<RouterId>, revision: Revision) {
        val late = routers.filter { (installed[it] ?: Revision.NONE) < revision }
        assertEquals(
            emptyList(),
            late,
            "$revision is not installed in time; only ${routers.size - late.size} of ${routers.size} routers run it",
        )
    }
}
