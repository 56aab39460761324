package org.cicadaarch.model.fleet

import kotlinx.serialization.Serializable
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.ZoneName

/**
 * An engine or service process that runs requests.
 *
 * [address] is `host:port`. [capacity] is the number of requests that it runs concurrently without queueing. The flags
 * tell what the target does: it rejects orders with an outdated fencing number ([checksFencing]), runs requests with
 * the same idempotency key only once ([deduplicates]), resumes a stream at an offset ([resumesStreams]), and can export
 * and import its prefix cache ([exportsCache]). A [leaving] target gets no new requests.
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
