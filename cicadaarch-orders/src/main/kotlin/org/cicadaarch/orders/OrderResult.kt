package org.cicadaarch.orders

/**
 * The result of an order to an engine.
 */
enum class OrderResult {
    /** The engine serves the wanted state already or loads it. */
    ACCEPTED,

    /** The engine has seen a newer fencing token and rejected the order without any change. */
    OLD_FENCING_NUMBER,

    /** The order was not sent, or the engine rejected it for another reason; nothing has changed. */
    FAILED,

    /** No response came in time: the engine may have accepted the order. */
    UNANSWERED,
}
