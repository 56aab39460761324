package org.cicadaarch.forwarding.target

import io.netty.handler.codec.http.HttpHeaders
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Reads the Keep-Alive header, in which a server states how long it keeps an idle connection open.
 */
internal object KeepAliveHeader {
    private const val NAME = "Keep-Alive"
    private val TIMEOUT = Regex("""(?:^|[,\s])timeout\s*=\s*(\d{1,6})""", RegexOption.IGNORE_CASE)

    /** The stated timeout, or null if there is none. */
    fun timeout(headers: HttpHeaders): Duration? =
        headers[NAME]?.let { TIMEOUT.find(it) }?.groupValues?.get(1)?.toInt()?.seconds
}
