package org.cicadaarch.store.framing

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion

/**
 * The grammar of the lines of a message head (RFC 9112, sections 2.3, 3, 4 and 5; RFC 9110, sections 5.1, 5.5 and 15).
 *
 * Each function throws a [FramingException] for a line that the grammar does not allow. Line folds and white space
 * before a colon are refused too: a single spoiled byte must not move a field into its neighbour.
 */
internal object HeadGrammar {
    private const val TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~"
    private const val DELETE = '\u007f'
    private const val MAX_CHARACTER = '\u00ff'
    private const val VERSION_PREFIX = "HTTP/1."
    private const val VERSION_LENGTH = VERSION_PREFIX.length + 1
    private const val STATUS_DIGITS = 3
    private const val STATUS_LINE_MIN_LENGTH = VERSION_LENGTH + 1 + STATUS_DIGITS + 1
    private val VALID_STATUSES = 100..599
    private val PRINTABLE_ASCII = '!'..'~'
    private val IS_TOKEN_CHARACTER = BooleanArray(MAX_CHARACTER.code + 1) { code ->
        val character = code.toChar()
        character in '0'..'9' || character in 'a'..'z' || character in 'A'..'Z' || character in TOKEN_SYMBOLS
    }

    /** Reads the first line of a request. */
    fun requestLine(line: String): RequestLine {
        val methodEnd = line.indexOf(' ')
        val targetEnd = line.lastIndexOf(' ')
        if (methodEnd < 0 || targetEnd <= methodEnd) malformed("request line has no three parts")
        val method = line.substring(0, methodEnd)
        val target = line.substring(methodEnd + 1, targetEnd)
        if (!isToken(method, method.length)) malformed("method is no token")
        if (target.isEmpty() || target.any { it !in PRINTABLE_ASCII }) malformed("request target is not ASCII")
        return RequestLine(HttpMethod.valueOf(method), target, version(line.substring(targetEnd + 1)))
    }

    /** Reads the first line of a response. */
    fun statusLine(line: String): StatusLine {
        val hasItsSpaces = line.length >= STATUS_LINE_MIN_LENGTH &&
            line[VERSION_LENGTH] == ' ' &&
            line[STATUS_LINE_MIN_LENGTH - 1] == ' '
        if (!hasItsSpaces) malformed("status line has no three parts")
        val version = version(line.substring(0, VERSION_LENGTH))
        val digits = line.substring(VERSION_LENGTH + 1, STATUS_LINE_MIN_LENGTH - 1)
        if (!digits.all { it in '0'..'9' } || digits.toInt() !in VALID_STATUSES) malformed("no valid status code")
        val reason = line.substring(STATUS_LINE_MIN_LENGTH)
        return StatusLine(version, HttpResponseStatus.valueOf(digits.toInt(), reason))
    }

    /** Reads a field line and adds the field to [headers], without the white space around its value. */
    fun addField(line: String, headers: HttpHeaders) {
        val colon = checkField(line)
        var start = colon + 1
        var end = line.length
        while (start < end && isBlank(line[start])) start++
        while (end > start && isBlank(line[end - 1])) end--
        headers.add(line.substring(0, colon), line.substring(start, end))
    }

    /** Checks that [line] is a field line, and returns the index of its colon. */
    fun checkField(line: String): Int {
        val colon = line.indexOf(':')
        if (colon < 0) malformed("field line without a colon")
        if (!isToken(line, colon)) malformed("field name is no token")
        return colon
    }

    /** Checks that [line] has no control character but tabs. */
    fun checkText(line: String) {
        for (character in line) {
            if ((character < ' ' && character != '\t') || character == DELETE) malformed("control character")
        }
    }

    private fun isBlank(character: Char): Boolean = character == ' ' || character == '\t'

    /** Whether the first [length] characters of [text] are a token. */
    private fun isToken(text: String, length: Int): Boolean {
        for (index in 0 until length) {
            val character = text[index]
            if (character > MAX_CHARACTER || !IS_TOKEN_CHARACTER[character.code]) return false
        }
        return length > 0
    }

    /** Later minor versions are read like the latest one that is known (RFC 9110, section 2.5). */
    private fun version(text: String): HttpVersion {
        val isSupported =
            text.length == VERSION_LENGTH && text.startsWith(VERSION_PREFIX) && text.last() in '0'..'9'
        if (!isSupported) malformed("not HTTP/1")
        return if (text.last() == '0') HttpVersion.HTTP_1_0 else HttpVersion.HTTP_1_1
    }

    private fun malformed(reason: String): Nothing = throw FramingException(reason)

    /** The parts of a request's first line. */
    data class RequestLine(val method: HttpMethod, val target: String, val version: HttpVersion)

    /** The parts of a response's first line. */
    data class StatusLine(val version: HttpVersion, val status: HttpResponseStatus)
}
