package org.cicadaarch.ledger

/** Faults that the oracle must catch; they stand in for mistakes in the reducers. */
internal enum class InjectedBug {
    /** A claim is granted although its write is not settled. */
    UNCONFIRMED_WRITES_TREATED_AS_WRITTEN,

    /** Segments are written without the condition that no other router wrote the sequence. */
    EXPECTED_STATE_IGNORED,

    /** Segments are deleted once a snapshot covers them, and may then be written a second time. */
    SEGMENTS_DELETED,

    /** An ingress forgets a finished claim before the store holds its end. */
    FINISH_FORGOTTEN,

    /** An ingress tells its caller `not-run` and runs the request when the grant comes late. */
    LATE_GRANT_RUNS,
}
