package org.cicadaarch.forwarding.target

import io.netty.handler.codec.http.HttpHeaders
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Reads the header by which a server states how long it keeps an idle connection.
 */
internal object KeepAliveHeader {
    private const val NAME = "Keep-Alive"
    private val TIMEOUT = Regex("""(?:^|[,\s])timeout\s*=\s*(\d{1,6})""", RegexOption.IGNORE_CASE)

    /** The stated time, or null when none is stated. */
    fun timeout(headers: HttpHeaders): Duration? =
        headers[NAME]?.let { TIMEOUT.find(it) }?.groupValues?.get(1)?.toInt()?.seconds
}
