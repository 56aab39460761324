package org.cicadaarch.forwarding.exchange

import net.openhft.hashing.LongHashFunction
import org.cicadaarch.dispatch.quarantine.RequestTrait
import org.cicadaarch.forwarding.client.ClientRequest
import org.cicadaarch.forwarding.format.RequestMetadata
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.Fingerprint

/**
 * Finds the traits of a request by which requests that crash targets are recognized: the parts of its prompt that
 * others may have too, and the request as a whole.
 */
internal object RequestTraits {
    private val HASH: LongHashFunction = LongHashFunction.xx3()

    /** Bounds the memory for the traits of one request; a prompt has a few parts. */
    private const val MAX_PARTS = 32

    /** Longer ids, which a client may choose, are replaced by their hash. */
    private const val MAX_ID_LENGTH = 40

    /** The traits of [request], sent by [account] with [metadata] in its headers. */
    fun of(request: ClientRequest, account: AccountId?, metadata: RequestMetadata): Set<RequestTrait> {
        val parts = metadata.sharedPromptParts.take(MAX_PARTS).map { RequestTrait.promptPart(shortened(it.id)) }
        return parts.toSet() + RequestTrait.wholeRequest(fingerprint(request, account))
    }

    private fun shortened(id: String): String =
        if (id.length <= MAX_ID_LENGTH) id else HASH.hashChars(id).toULong().toString()

    /** A request that is sent again has the same account, method, path and body, whatever its id. */
    private fun fingerprint(request: ClientRequest, account: AccountId?): Fingerprint {
        val head = HASH.hashChars("${account?.value} ${request.method} ${request.uri}")
        val body = request.body.nioBuffer()
        return Fingerprint(LongHashFunction.xx3(head).hashBytes(body))
    }
}
