package org.cicadaarch.model

import kotlinx.serialization.Serializable

/**
 * A hash over the account, service and body of a request. Equal requests have equal fingerprints on every router.
 */
@JvmInline
@Serializable
value class Fingerprint(val value: Long)
