package org.cicadaarch.protocol

/**
 * The header names of requests from callers and of answers to them.
 */
object ClientHeaders {
    /** Request: the chat within the client account, any text of up to 200 characters. */
    const val CHAT: String = "x-chat-id"

    /** Request: the number of the chat's turn, counted from one. */
    const val TURN: String = "x-chat-turn"

    /** Request: `interactive`, `standard` or `batch`. */
    const val PRIORITY: String = "x-priority"

    /** Request: the time allowed until the first byte of the answer, in milliseconds. */
    const val DEADLINE_MILLISECONDS: String = "x-deadline-milliseconds"

    /** Request: names a non-idempotent operation so that it runs at most once over all resends. */
    const val IDEMPOTENCY_KEY: String = "idempotency-key"

    /** Request: `true` when the request may run at most once and carries no key. */
    const val NON_IDEMPOTENT: String = "x-non-idempotent"

    /** Answer: the request's identity, as in logs and traces. */
    const val REQUEST: String = "x-request-id"

    /** Answer: how the request ended, one of the labels of `Outcome`. */
    const val OUTCOME: String = "x-outcome"

    /** Answer: the number of the attempt that gave the answer. */
    const val ATTEMPT: String = "x-attempt"
}
