package org.cicadaarch.configuration

import arrow.core.left
import arrow.core.right
import kotlin.test.Test
import kotlin.test.assertEquals
import org.cicadaarch.model.AccountId

class CredentialVerifierTest {
    private val accounts = ExampleDocuments.hireDesk.accounts
    private val verifier = CredentialVerifier(processKey = ByteArray(32) { it.toByte() }, capacity = 2)

    @Test
    fun `Given the examples, when each account's secret is verified twice, then the account is authenticated`() {
        listOf(ExampleDocuments.hireDesk, ExampleDocuments.gridSetters).forEach { document ->
            (document.accounts.keys + document.accounts.keys).forEach { account ->
                assertEquals(account.right(), verifier.verify("$account:$account-secret", document.accounts))
            }
        }
    }

    @Test
    fun `Given invalid tokens, when they are verified, then each is rejected with its reason`() {
        mapOf(
            "" to CredentialRefusal.MALFORMED,
            "malvern-net-hire" to CredentialRefusal.MALFORMED,
            "malvern-net-hire:" to CredentialRefusal.MALFORMED,
            ":malvern-net-hire-secret" to CredentialRefusal.MALFORMED,
            "nobody:nobody-secret" to CredentialRefusal.UNKNOWN_ACCOUNT,
            "malvern-net-hire:lugg-meadow-hire-secret" to CredentialRefusal.WRONG_SECRET,
        ).forEach { (token, refusal) -> assertEquals(refusal.left(), verifier.verify(token, accounts), token) }
    }

    @Test
    fun `Given three accounts and a cache of two, when they take turns, then only evicted ones are hashed again`() {
        var hashes = 0
        val counting = CredentialVerifier(processKey = byteArrayOf(7), capacity = 2) { secret, credential ->
            hashes++
            CredentialHasher.matches(secret, credential)
        }
        val turns = listOf("lugg-meadow-hire" to 1, "clent-hills-nets" to 2, "lugg-meadow-hire" to 2) +
            listOf("malvern-net-hire" to 3, "lugg-meadow-hire" to 3, "clent-hills-nets" to 4)
        turns.forEach { (account, expectedHashes) ->
            repeat(100) { counting.verify("$account:$account-secret", accounts) }
            assertEquals(expectedHashes, hashes, account)
        }
    }

    @Test
    fun `Given a verified secret, when its credential is replaced, then only the new secret is accepted`() {
        val id = AccountId("malvern-net-hire")
        assertEquals(id.right(), verifier.verify("$id:$id-secret", accounts))
        val renewed = CredentialHasher.hash(secret = "renewed", salt = byteArrayOf(1, 2), iterations = 10)
        val replaced = accounts + (id to accounts.getValue(id).copy(credentials = listOf(renewed)))
        assertEquals(CredentialRefusal.WRONG_SECRET.left(), verifier.verify("$id:$id-secret", replaced))
        assertEquals(id.right(), verifier.verify("$id:renewed", replaced))
    }
}
