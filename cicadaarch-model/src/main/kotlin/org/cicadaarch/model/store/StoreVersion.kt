package org.cicadaarch.model.store

/**
 * A state of the store's contents: its [revision] within an [era].
 *
 * The revision increases with each change. A store that returns from an older copy of its contents starts a new era,
 * in which it gives out again the revisions of the changes that it lost. So versions are ordered by era, and revisions
 * of different eras have nothing to do with each other. Stores that have no eras are always in era 0.
 */
data class StoreVersion(val era: Long, val revision: Long) : Comparable<StoreVersion> {
    /** Whether this is the version of contents that were read, not [NONE]. */
    val isRead: Boolean get() = revision > 0

    override fun compareTo(other: StoreVersion): Int =
        compareValuesBy(this, other, StoreVersion::era, StoreVersion::revision)

    override fun toString(): String = "$era:$revision"

    companion object {
        /** Stands for no version, while nothing has been read. */
        val NONE = StoreVersion(era = 0, revision = 0)

        /** The state at [revision] of a store that has no eras. */
        fun ofRevision(revision: Long) = StoreVersion(era = 0, revision = revision)
    }
}
