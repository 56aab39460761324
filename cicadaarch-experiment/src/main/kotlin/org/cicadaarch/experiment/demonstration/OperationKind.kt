package org.cicadaarch.experiment.demonstration

/**
 * What a caller of the demonstration asks for.
 */
internal enum class OperationKind {
    /** A streamed turn of a chat. */
    CHAT,

    /** A call of a plain service that must not run twice. */
    BOOKING,
}
