package org.cicadaarch.dispatch.quarantine

import org.cicadaarch.model.Fingerprint

/**
 * A property that requests share and by which those that crash their targets can be recognized: a part of the prompt,
 * or the request as a whole.
 */
@JvmInline
value class RequestTrait(val value: String) : Comparable<RequestTrait> {
    /** Whether this is the trait of one request and its repetitions. */
    val isWholeRequest: Boolean get() = value.startsWith(WHOLE_REQUEST)

    override fun compareTo(other: RequestTrait): Int = value.compareTo(other.value)

    override fun toString(): String = value

    companion object {
        private const val WHOLE_REQUEST = "request:"

        /** The trait of all requests with the part [id] in their prompt. */
        fun promptPart(id: String) = RequestTrait("part:$id")

        /** The trait of all requests with [fingerprint], that is of one request and its repetitions. */
        fun wholeRequest(fingerprint: Fingerprint) = RequestTrait("$WHOLE_REQUEST${fingerprint.value.toULong()}")
    }
}
