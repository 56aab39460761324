package org.cicadaarch.configuration

import java.security.MessageDigest
import java.util.Base64
import javax.crypto.SecretKeyFactory
import javax.crypto.spec.PBEKeySpec
import org.cicadaarch.model.fleet.CredentialHash

/**
 * Hashes client secrets with PBKDF2-HMAC-SHA-256.
 */
object CredentialHasher {
    const val HASH_BYTES = 32

    /** Hashes [secret]. The [salt] must be random and used for this credential only. */
    fun hash(secret: String, salt: ByteArray, iterations: Int): CredentialHash {
        require(secret.isNotEmpty()) { "the secret must not be empty" }
        require(salt.isNotEmpty()) { "the salt must not be empty" }
        require(iterations > 0) { "iterations must be above 0, was $iterations" }
        return CredentialHash(
            salt = Base64.getEncoder().encodeToString(salt),
            hash = Base64.getEncoder().encodeToString(derive(secret, salt, iterations)),
            iterations = iterations,
        )
    }

    /** Whether [secret] has the hash [expected]; compares the hashes in constant time. */
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
