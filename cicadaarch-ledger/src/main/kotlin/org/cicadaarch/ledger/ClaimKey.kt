package org.cicadaarch.ledger

import java.security.MessageDigest
import java.util.Base64
import kotlinx.serialization.Serializable
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.IdempotencyKey

/**
 * A digest of a client account and its idempotency key: the first 128 bits of SHA-256 in URL-safe base64.
 *
 * The digest has a fixed length, so clients cannot increase the size of the ledger's records with long keys.
 */
@JvmInline
@Serializable
value class ClaimKey(val value: String) {
    override fun toString(): String = value

    companion object {
        private const val DIGEST_BYTES = 16

        /** Returns the digest of [key] in the scope of [account]. */
        fun of(account: AccountId, key: IdempotencyKey): ClaimKey {
            val text = "${account.value.length}/${account.value}/${key.value}"
            val digest = MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())
            return ClaimKey(Base64.getUrlEncoder().withoutPadding().encodeToString(digest.copyOf(DIGEST_BYTES)))
        }
    }
}
