package org.cicadaarch.model.fleet

import kotlinx.serialization.Serializable
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.ZoneName

/**
 * One engine or service process that runs requests.
 *
 * [address] is `host:port`. [capacity] is the number of requests that it runs at once without queueing. The flags say
 * what the target promises: to refuse orders with an old fencing number, to run a repeated idempotency key once, to
 * resume a stream at an offset, and to export and import its prefix cache.
 */
@Serializable
data class Target(
    val service: ServiceName,
    val address: String,
    val zone: ZoneName,
    val capacity: Int,
    val checksFencing: Boolean = false,
    val deduplicates: Boolean = false,
    val resumesStreams: Boolean = false,
    val exportsCache: Boolean = false,
    val leaving: Boolean = false,
)
