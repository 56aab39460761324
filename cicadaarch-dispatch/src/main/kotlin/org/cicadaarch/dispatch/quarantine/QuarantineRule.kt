package org.cicadaarch.dispatch.quarantine

/**
 * Requests that have all of [traits] are not sent to targets, as [crashCount] targets crashed while such requests were
 * in flight there, and none of these requests completed since. If several traits were in flight at the same crashes,
 * only their combination is held back: it is not known which of them causes the crashes.
 */
data class QuarantineRule(val traits: Set<RequestTrait>, val crashCount: Int) {
    /** Whether a request with [requestTraits] is held back. */
    fun matches(requestTraits: Set<RequestTrait>): Boolean = requestTraits.containsAll(traits)
}
