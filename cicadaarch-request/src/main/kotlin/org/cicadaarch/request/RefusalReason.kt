package org.cicadaarch.request

/**
 * Why a request ended without a whole answer. [label] is shown to the caller and in logs.
 */
enum class RefusalReason(val label: String) {
    /** The router has no configuration yet. */
    NO_CONFIGURATION("no-configuration"),

    /** No service of that name is configured. */
    UNKNOWN_SERVICE("unknown-service"),

    /** The active preset does not admit the request's priority. */
    PRIORITY_NOT_ADMITTED("priority-not-admitted"),

    /** A limit of the client account is reached. */
    ACCOUNT_LIMIT("account-limit"),

    /** No target could give the first byte before the deadline. */
    LATE("late"),

    /** The claim of the idempotency key could not be recorded before the deadline. */
    LEDGER_UNAVAILABLE("ledger-unavailable"),

    /** An earlier request with the same idempotency key ran or is running. */
    KEY_CLAIMED("key-claimed"),

    /** The target failed after the request was offered to it. */
    TARGET_FAILED("target-failed"),

    /** Targets crashed each time that they ran this request. */
    CRASHES_TARGETS("crashes-targets"),

    /** The retry budget of the router is spent. */
    RETRY_BUDGET("retry-budget"),

    /** The caller closed its connection. */
    CALLER_GONE("caller-gone"),
}
