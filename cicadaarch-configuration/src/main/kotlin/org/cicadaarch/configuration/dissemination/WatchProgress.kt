package org.cicadaarch.configuration.dissemination

import org.cicadaarch.model.Timestamp

/**
 * Where a router stands with its calls to the store.
 *
 * The store had no change unknown to this router up to [knownRevision]; null asks for a reading. At most one call is
 * outstanding: the one of [token], given up at [deadline]. The next is not sent before [nextCallAt].
 */
data class WatchProgress(
    val nextCallAt: Timestamp,
    val knownRevision: Long? = null,
    val token: Long = 0,
    val deadline: Timestamp? = null,
    val failures: Int = 0,
)
