package org.cicadaarch.model.store

/**
 * The precondition of a conditional write: the state that the key must be in.
 */
sealed class ExpectedState {
    /** The key does not exist. */
    data object Absent : ExpectedState()

    /** The key exists and was last written at [revision]. */
    data class AtRevision(val revision: Long) : ExpectedState()
}
