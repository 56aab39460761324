package org.cicadaarch.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.util.Base64
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.fleet.Account
import org.cicadaarch.model.fleet.CredentialHash

/**
 * Verifies client tokens of the form `account:secret`. Thread-safe.
 *
 * An LRU cache holds the HMACs, keyed with [processKey], of the last [capacity] secrets that matched, so that only the
 * first request of an account runs [matchesHash], the slow password hash. The HMAC covers the credential as well as the
 * secret, so a removed credential no longer matches.
 */
class CredentialVerifier(
    processKey: ByteArray,
    private val capacity: Int = DEFAULT_CAPACITY,
    private val matchesHash: (String, CredentialHash) -> Boolean = CredentialHasher::matches,
) {
    private val macKey = SecretKeySpec(processKey, MAC_ALGORITHM)
    private val verifiedKeys = object : LinkedHashMap<String, Unit>(INITIAL_SIZE, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, Unit>): Boolean = size > capacity
    }

    init {
        require(capacity > 0) { "capacity must be above 0, was $capacity" }
    }

    /** Returns the account that [token] authenticates against the credentials in [accounts]. */
    fun verify(token: String, accounts: Map<AccountId, Account>): Either<CredentialRefusal, AccountId> {
        val separator = token.indexOf(SEPARATOR)
        if (separator <= 0 || separator == token.lastIndex) return CredentialRefusal.MALFORMED.left()
        val id = AccountId(token.substring(0, separator))
        val account = accounts[id] ?: return CredentialRefusal.UNKNOWN_ACCOUNT.left()
        val secret = token.substring(separator + 1)
        return if (matches(secret, account.credentials)) id.right() else CredentialRefusal.WRONG_SECRET.left()
    }

    private fun matches(secret: String, credentials: List<CredentialHash>): Boolean {
        val keys = credentials.map { cacheKey(secret, it) }
        if (keys.any(::isVerified)) return true
        val match = credentials.indexOfFirst { matchesHash(secret, it) }
        if (match >= 0) markVerified(keys[match])
        return match >= 0
    }

    private fun cacheKey(secret: String, credential: CredentialHash): String {
        val mac = Mac.getInstance(MAC_ALGORITHM).apply { init(macKey) }
        // Base64 contains no line feeds, so the separator keeps the encoding of the fields unambiguous.
        mac.update("${credential.iterations}\n${credential.salt}\n${credential.hash}\n".toByteArray())
        return Base64.getEncoder().encodeToString(mac.doFinal(secret.toByteArray()))
    }

    private fun isVerified(key: String): Boolean = synchronized(verifiedKeys) { verifiedKeys[key] != null }

    private fun markVerified(key: String) = synchronized(verifiedKeys) { verifiedKeys[key] = Unit }

    private companion object {
        const val MAC_ALGORITHM = "HmacSHA256"
        const val SEPARATOR = ':'
        const val DEFAULT_CAPACITY = 4_096
        const val INITIAL_SIZE = 16
        const val LOAD_FACTOR = 0.75f
    }
}
