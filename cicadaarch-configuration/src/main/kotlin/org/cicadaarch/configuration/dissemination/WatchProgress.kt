package org.cicadaarch.configuration.dissemination

import org.cicadaarch.model.Timestamp

/**
 * The progress of a watcher's calls to the store.
 *
 * All changes up to the store revision [knownRevision] are known; null means that the document must be read first. At
 * most one call is pending: the one with [token], which times out at [deadline] (null if no call is pending). The next
 * call starts at [nextCallAt] or later. [failures] counts consecutive failed calls.
 */
data class WatchProgress(
    val nextCallAt: Timestamp,
    val knownRevision: Long? = null,
    val token: Long = 0,
    val deadline: Timestamp? = null,
    val failures: Int = 0,
)
