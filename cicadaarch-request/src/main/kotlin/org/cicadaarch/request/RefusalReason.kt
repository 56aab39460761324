package org.cicadaarch.request

/**
 * Why a request ended without a complete response. [label] is reported to the client and in logs.
 */
enum class RefusalReason(val label: String) {
    /** The router has no configuration yet. */
    NO_CONFIGURATION("no-configuration"),

    /** The configuration has no service of the requested name. */
    UNKNOWN_SERVICE("unknown-service"),

    /** The active preset does not admit the request's priority. */
    PRIORITY_NOT_ADMITTED("priority-not-admitted"),

    /** The client account has reached one of its limits. */
    ACCOUNT_LIMIT("account-limit"),

    /** No target could send the first byte of the response before the deadline. */
    LATE("late"),

    /** The claim of the idempotency key could not be recorded before the deadline. */
    LEDGER_UNAVAILABLE("ledger-unavailable"),

    /** An earlier request with the same idempotency key ran, is running or may have run. */
    KEY_CLAIMED("key-claimed"),

    /** The target failed and the request must not, or cannot, be sent to another one. */
    TARGET_FAILED("target-failed"),

    /** Too many attempts of this request lost the connection to their target, which it may have crashed. */
    CRASHES_TARGETS("crashes-targets"),

    /** The retry budget of the router is exhausted. */
    RETRY_BUDGET("retry-budget"),

    /** The client closed its connection. */
    CLIENT_DISCONNECTED("caller-gone"),
}
