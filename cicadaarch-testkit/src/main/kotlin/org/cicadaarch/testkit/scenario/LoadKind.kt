package org.cicadaarch.testkit.scenario

/**
 * What callers send. [label] is its word in the text form.
 */
enum class LoadKind(val label: String) {
    /** Idempotent chats to the model engines. */
    CHATS("chats"),

    /** Idempotent calls of a plain service. */
    CALLS("calls"),

    /** Non-idempotent calls of a plain service, each with its own idempotency key. */
    KEYED_CALLS("keyed-calls"),

    /** Non-idempotent calls of a plain service without a key. */
    KEYLESS_CALLS("keyless-calls"),
}
