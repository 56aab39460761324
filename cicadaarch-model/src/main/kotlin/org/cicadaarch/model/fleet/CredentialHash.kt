package org.cicadaarch.model.fleet

import kotlinx.serialization.Serializable

/**
 * A salted hash of a client's secret: PBKDF2 with HMAC-SHA-256 and [iterations] iterations. [salt] and [hash] are in
 * base64.
 */
@Serializable
data class CredentialHash(val salt: String, val hash: String, val iterations: Int)
