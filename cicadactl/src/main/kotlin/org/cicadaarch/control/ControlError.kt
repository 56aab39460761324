package org.cicadaarch.control

import org.cicadaarch.configuration.DocumentDifference
import org.cicadaarch.configuration.DocumentError

/**
 * Why a command failed.
 */
sealed class ControlError {
    /** The command line is incomplete or contradictory, for [reason]. */
    data class Usage(val reason: String) : ControlError()

    /** The document from [source] has [errors]. */
    data class InvalidDocument(val source: String, val errors: List<DocumentError>) : ControlError()

    /**
     * The store's document is not at the [expected] revision but is [current], null if there is none.
     *
     * [others] are the changes of other operators since then. [own] are the differences between the operator's document
     * and its base, or the store's document if the base is not known.
     */
    data class Conflict(
        val expected: Long,
        val current: StoredDocument?,
        val others: List<RecordedChange> = emptyList(),
        val own: List<DocumentDifference> = emptyList(),
        val isBaseKnown: Boolean = false,
    ) : ControlError()

    /** [peer] did not respond, for [reason]. */
    data class Unreachable(val peer: String, val reason: String) : ControlError()

    /** The response to a write is lost, for [reason], and the write may have taken effect. */
    data class Unsettled(val reason: String) : ControlError()

    /** The command failed for another [reason]. */
    data class Failed(val reason: String) : ControlError()
}
