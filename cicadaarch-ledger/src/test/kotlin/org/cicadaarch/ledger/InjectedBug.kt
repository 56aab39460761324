package org.cicadaarch.ledger

/** Bugs that the fuzz test injects to check that the oracle detects violations of the guarantees. */
internal enum class InjectedBug {
    /** A write without a response is treated as successful, so a claim can be granted that is not in the store. */
    UNCONFIRMED_WRITES_TREATED_AS_WRITTEN,

    /** The store ignores the expected state of a compare-and-set, so routers overwrite each other's segments. */
    EXPECTED_STATE_IGNORED,

    /** Segments covered by a snapshot are deleted, so another router can write the same sequence again. */
    SEGMENTS_DELETED,

    /** An ingress stops tracking an ended claim before its end is recorded in the store. */
    ENDED_CLAIMS_DROPPED,

    /** An ingress reports `not-run` to the client, and still runs the request when the grant arrives late. */
    LATE_GRANT_RUNS,
}
