package org.cicadaarch.configuration.dissemination

import org.cicadaarch.model.Revision
import org.cicadaarch.model.fleet.FleetDocument

/**
 * The active [document] of a router and its [revision].
 */
data class InstalledDocument(val revision: Revision, val document: FleetDocument)
