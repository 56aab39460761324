package org.cicadaarch.model

import kotlinx.serialization.Serializable

/**
 * A hash of the client account, service and body of a request. Equal requests have equal fingerprints on all routers.
 */
@JvmInline
@Serializable
value class Fingerprint(val value: Long)
