package org.cicadaarch.model.store

/**
 * The precondition of a conditional write: the state that the key must be in.
 */
sealed class ExpectedState {
    /** The key does not exist. */
    data object Absent : ExpectedState()

    /** The key exists and was last written at [version]. */
    data class AtVersion(val version: StoreVersion) : ExpectedState() {
        /** The state at [revision] of a store that has no eras. */
        constructor(revision: Long) : this(StoreVersion.ofRevision(revision))
    }
}
