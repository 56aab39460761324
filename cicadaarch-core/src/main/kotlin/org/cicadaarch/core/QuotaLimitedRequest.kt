package org.cicadaarch.core

import org.cicadaarch.model.RequestHead
import org.cicadaarch.model.Timestamp

/**
 * A request that arrived at [arrivedAt] while its account's quota was used up. It is checked again at [retryAt].
 */
data class QuotaLimitedRequest(val head: RequestHead, val arrivedAt: Timestamp, val retryAt: Timestamp)
