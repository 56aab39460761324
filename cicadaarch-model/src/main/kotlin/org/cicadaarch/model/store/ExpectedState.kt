package org.cicadaarch.model.store

/**
 * The state of a key that a conditional write requires.
 */
sealed class ExpectedState {
    /** The key does not exist. */
    data object Absent : ExpectedState()

    /** The key was last written at [revision]. */
    data class AtRevision(val revision: Long) : ExpectedState()
}
