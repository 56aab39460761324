package org.cicadaarch.orders

import org.cicadaarch.model.Timestamp

/**
 * A read or an order to an engine, sent at [sentAt].
 */
data class EngineExchange(val number: Long, val sentAt: Timestamp)
