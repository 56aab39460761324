package org.cicadaarch.forwarding.target

import io.netty.handler.codec.http.HttpHeaders
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Reads the Keep-Alive header, in which a server states how long it keeps an idle connection open.
 */
internal object KeepAliveHeader {
    private const val NAME = "Keep-Alive"
    private const val PARAMETER = "timeout"
    private const val MAX_SECONDS = 999_999

    /** The stated timeout, or null if there is none. */
    fun timeout(headers: HttpHeaders): Duration? = headers[NAME]
        ?.split(',')
        ?.firstNotNullOfOrNull { seconds(it) }
        ?.seconds

    private fun seconds(parameter: String): Int? {
        val separator = parameter.indexOf('=')
        if (separator < 0 || !parameter.substring(0, separator).trim().equals(PARAMETER, ignoreCase = true)) return null
        return parameter.substring(separator + 1).trim().toIntOrNull()?.takeIf { it in 0..MAX_SECONDS }
    }
}
