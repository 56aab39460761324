package org.cicadaarch.configuration

import java.security.MessageDigest
import java.util.Base64
import javax.crypto.SecretKeyFactory
import javax.crypto.spec.PBEKeySpec
import org.cicadaarch.model.fleet.CredentialHash

/**
 * Hashes callers' secrets with PBKDF2 over HMAC-SHA-256.
 */
object CredentialHasher {
    /** The size of a hash in bytes. */
    const val HASH_BYTES = 32

    /** The hash of [secret] with [salt], which is to be random and used once, over [iterations]. */
    fun hash(secret: String, salt: ByteArray, iterations: Int): CredentialHash {
        require(secret.isNotEmpty()) { "the secret must not be empty" }
        require(salt.isNotEmpty()) { "the salt must not be empty" }
        require(iterations > 0) { "iterations must be above 0, were $iterations" }
        return CredentialHash(
            salt = Base64.getEncoder().encodeToString(salt),
            hash = Base64.getEncoder().encodeToString(derive(secret, salt, iterations)),
            iterations = iterations,
        )
    }

    /** Whether [secret] is the one that [expected] was made of; takes the same time wherever the hashes differ. */
    fun matches(secret: String, expected: CredentialHash): Boolean {
        if (secret.isEmpty()) return false
        val decoder = Base64.getDecoder()
        val derived = derive(secret, decoder.decode(expected.salt), expected.iterations)
        return MessageDigest.isEqual(derived, decoder.decode(expected.hash))
    }

    private fun derive(secret: String, salt: ByteArray, iterations: Int): ByteArray =
        SecretKeyFactory.getInstance(ALGORITHM)
            .generateSecret(PBEKeySpec(secret.toCharArray(), salt, iterations, HASH_BYTES * Byte.SIZE_BITS))
            .encoded

    private const val ALGORITHM = "PBKDF2WithHmacSHA256"
}
