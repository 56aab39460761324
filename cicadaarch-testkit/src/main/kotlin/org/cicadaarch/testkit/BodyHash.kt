package org.cicadaarch.testkit

import java.security.MessageDigest
import java.util.HexFormat

/**
 * Names a request body by its content.
 */
object BodyHash {
    /** The SHA-256 of [body] in UTF-8, in hexadecimal. */
    fun of(body: String): String =
        HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(body.toByteArray()))
}
