package org.cicadaarch.orders

import org.cicadaarch.model.Timestamp

/**
 * A state read or an order that was sent to an engine at [sentAt] and has not completed yet.
 */
data class EngineCall(val number: Long, val sentAt: Timestamp)
