package org.cicadaarch.model.fleet

import kotlinx.serialization.Serializable

/**
 * A salted hash of a caller's secret: PBKDF2 with HMAC-SHA-256 over [iterations], [salt] and [hash] in base64.
 */
@Serializable
data class CredentialHash(val salt: String, val hash: String, val iterations: Int)
