package org.cicadaarch.control

import org.cicadaarch.configuration.DocumentDifference
import org.cicadaarch.configuration.DocumentError

/**
 * Why a command did not do what it was asked.
 */
sealed class ControlError {
    /** The command line does not say enough, or too much, for [reason]. */
    data class Usage(val reason: String) : ControlError()

    /** The document of [source] has [errors]. */
    data class InvalidDocument(val source: String, val errors: List<DocumentError>) : ControlError()

    /**
     * The store's document is not at the [expected] revision but at that of [current], null when there is none.
     *
     * [others] are the changes made since and [own] what the operator's document changes in its base; while the base
     * is not known, [own] leads from the store's document to the operator's.
     */
    data class Conflict(
        val expected: Long,
        val current: StoredDocument?,
        val others: List<RecordedChange> = emptyList(),
        val own: List<DocumentDifference> = emptyList(),
        val isBaseKnown: Boolean = false,
    ) : ControlError()

    /** [peer] did not answer, for [reason]. */
    data class Unreachable(val peer: String, val reason: String) : ControlError()

    /** A write to the store was not answered and could not be settled: it may have taken effect. */
    data class Unsettled(val reason: String) : ControlError()

    /** Anything else, for [reason]. */
    data class Failed(val reason: String) : ControlError()
}
