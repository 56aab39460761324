package org.cicadaarch.orders

/**
 * How an engine answered an order.
 */
enum class OrderResult {
    /** The engine is in the wanted state or loads it. */
    ACCEPTED,

    /** The engine has seen a greater fencing number; it changed nothing. */
    OLD_FENCING_NUMBER,

    /** The engine changed nothing for another reason. */
    FAILED,

    /** No answer came: the engine may have accepted the order. */
    UNANSWERED,
}
