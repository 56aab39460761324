package org.cicadaarch.configuration.dissemination

import org.cicadaarch.model.Revision
import org.cicadaarch.model.fleet.FleetDocument

/**
 * The [document] of [revision] that is in force on a router.
 */
data class InstalledDocument(val revision: Revision, val document: FleetDocument)
