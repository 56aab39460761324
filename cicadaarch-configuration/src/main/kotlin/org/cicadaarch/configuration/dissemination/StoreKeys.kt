package org.cicadaarch.configuration.dissemination

/**
 * Where the fleet document lies in the platform's store.
 */
object StoreKeys {
    /** The key of the document's YAML text; the revision of the key is the revision of the document. */
    const val FLEET_DOCUMENT = "cicadaarch/fleet"
}
