package org.cicadaarch.protocol

/**
 * Names of the headers of requests from clients and of the responses to them.
 */
object ClientHeaders {
    /** Request header: the chat ID, unique within the client account; any text of up to 200 characters. */
    const val CHAT: String = "x-chat-id"

    /** Request header: the number of the turn within the chat, counted from one. */
    const val TURN: String = "x-chat-turn"

    /** Request header: `interactive`, `standard` or `batch`. */
    const val PRIORITY: String = "x-priority"

    /** Request header: the time allowed until the first byte of the response, in milliseconds. */
    const val DEADLINE_MILLISECONDS: String = "x-deadline-milliseconds"

    /** Request header: identifies a non-idempotent operation, which then runs at most once however often it is sent. */
    const val IDEMPOTENCY_KEY: String = "idempotency-key"

    /** Request header: `true` when the request must not run more than once and has no idempotency key. */
    const val NON_IDEMPOTENT: String = "x-non-idempotent"

    /** Response header: the request ID, as it appears in logs and traces. */
    const val REQUEST: String = "x-request-id"

    /** Response header: how the request ended, as one of the labels of `Outcome`. */
    const val OUTCOME: String = "x-outcome"

    /** Response header: the number of the attempt that produced the response. */
    const val ATTEMPT: String = "x-attempt"
}
