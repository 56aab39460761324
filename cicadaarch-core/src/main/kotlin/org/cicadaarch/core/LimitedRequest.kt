package org.cicadaarch.core

import org.cicadaarch.model.RequestHead
import org.cicadaarch.model.Timestamp

/**
 * A request that waits since [arrivedAt] for its account's limit to allow it, and is tried again at [retryAt].
 */
data class LimitedRequest(val head: RequestHead, val arrivedAt: Timestamp, val retryAt: Timestamp)
