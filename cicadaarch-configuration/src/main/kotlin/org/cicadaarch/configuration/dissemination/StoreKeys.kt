package org.cicadaarch.configuration.dissemination

/**
 * Keys in the platform's store.
 */
object StoreKeys {
    /** Holds the fleet document as YAML. The key's store revision is the document's revision. */
    const val FLEET_DOCUMENT = "cicadaarch/fleet"
}
