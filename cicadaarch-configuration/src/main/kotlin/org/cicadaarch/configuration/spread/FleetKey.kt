package org.cicadaarch.configuration.spread

/**
 * Where the fleet document lies in the platform's store.
 */
object FleetKey {
    /** The key of the document's YAML text; the revision of the key is the revision of the document. */
    const val VALUE = "cicadaarch/fleet"
}
