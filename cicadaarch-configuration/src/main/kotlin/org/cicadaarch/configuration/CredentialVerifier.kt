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
 * Verifies callers' tokens of the form `account:secret`. Safe to call from several threads.
 *
 * The last [capacity] secrets that matched are remembered as HMACs under [processKey], so that only an account's first
 * request pays for [check], the slow hash. An entry covers the credential too, so a withdrawn one matches no more.
 */
class CredentialVerifier(
    processKey: ByteArray,
    private val capacity: Int = CAPACITY,
    private val check: (String, CredentialHash) -> Boolean = CredentialHasher::matches,
) {
    private val macKey = SecretKeySpec(processKey, MAC_ALGORITHM)
    private val verified = object : LinkedHashMap<String, Unit>(INITIAL_SIZE, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, Unit>): Boolean = size > capacity
    }

    init {
        require(capacity > 0) { "capacity must be above 0, was $capacity" }
    }

    /** The account that [token] proves, by the credentials in [accounts]. */
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
        val match = credentials.indexOfFirst { check(secret, it) }
        if (match >= 0) remember(keys[match])
        return match >= 0
    }

    private fun cacheKey(secret: String, credential: CredentialHash): String {
        val mac = Mac.getInstance(MAC_ALGORITHM).apply { init(macKey) }
        // Base64 holds no line feed, so no two different inputs run together.
        mac.update("${credential.iterations}\n${credential.salt}\n${credential.hash}\n".toByteArray())
        return Base64.getEncoder().encodeToString(mac.doFinal(secret.toByteArray()))
    }

    private fun isVerified(key: String): Boolean = synchronized(verified) { verified[key] != null }

    private fun remember(key: String) = synchronized(verified) { verified[key] = Unit }

    private companion object {
        const val MAC_ALGORITHM = "HmacSHA256"
        const val SEPARATOR = ':'
        const val CAPACITY = 4_096
        const val INITIAL_SIZE = 16
        const val LOAD_FACTOR = 0.75f
    }
}
