package org.cicadaarch.store.framing

/**
 * A reading of requests by the letter of RFC 9112, of all bytes of a connection at once, against which the decoder is
 * checked. It shares no code with it.
 */
internal class StrictReading private constructor(private var rest: String) {
    /** The next request. Throws [Refused] or [Incomplete] if there is none. */
    private fun readRequest(): ReadRequest.Whole {
        // Empty lines before a request are ignored (RFC 9112, section 2.2).
        while (rest.startsWith(LINE_END)) take(LINE_END.length)
        if (HEAD_END !in rest) incomplete()
        val lines = rest.substringBefore(HEAD_END).split(LINE_END)
        take(rest.indexOf(HEAD_END) + HEAD_END.length)
        val line = REQUEST_LINE.matchEntire(lines.first()) ?: refuse()
        val fields = lines.drop(1).map { FIELD.matchEntire(it) ?: refuse() }
        val lengths = valuesOf(fields, "content-length")
        val codings = valuesOf(fields, "transfer-encoding")
        val body = when {
            codings.isNotEmpty() && lengths.isNotEmpty() -> refuse()
            codings.isNotEmpty() -> readChunks(codings, isOldVersion = line.groupValues[2] == "0")
            lengths.isNotEmpty() -> readLength(lengths)
            else -> ""
        }
        return ReadRequest.Whole(line.groupValues[1], body)
    }

    private fun valuesOf(fields: List<MatchResult>, name: String): List<String> =
        fields.filter { it.groupValues[1].equals(name, ignoreCase = true) }.map { it.groupValues[2] }

    private fun readLength(lengths: List<String>): String {
        val isNumber = lengths.size == 1 && Regex("[0-9]{1,18}").matches(lengths.single())
        return if (isNumber) take(lengths.single().toLong()) else refuse()
    }

    private fun readChunks(codings: List<String>, isOldVersion: Boolean): String {
        val isChunked = codings.size == 1 && codings.single().equals("chunked", ignoreCase = true)
        if (!isChunked || isOldVersion) refuse()
        val body = StringBuilder()
        while (true) {
            val digits = CHUNK_LINE.matchEntire(readLine())?.groupValues?.get(1)?.trimStart('0') ?: refuse()
            if (digits.isEmpty()) break
            if (digits.length > MAX_CHUNK_DIGITS) refuse()
            body.append(take(digits.toLong(radix = 16)))
            if (take(LINE_END.length.toLong()) != LINE_END) refuse()
        }
        readTrailers()
        return body.toString()
    }

    private fun readTrailers() {
        while (true) {
            val line = readLine()
            if (line.isEmpty()) return
            FIELD.matchEntire(line) ?: refuse()
        }
    }

    private fun readLine(): String {
        if ('\n' !in rest) incomplete()
        val line = take(rest.indexOf('\n') + 1)
        return if (line.endsWith(LINE_END)) line.removeSuffix(LINE_END) else refuse()
    }

    private fun take(count: Long): String = if (rest.length < count) incomplete() else take(count.toInt())

    private fun take(count: Int): String = rest.substring(0, count).also { rest = rest.substring(count) }

    private fun refuse(): Nothing = throw Refused()

    private fun incomplete(): Nothing = throw Incomplete()

    private class Refused : RuntimeException()

    private class Incomplete : RuntimeException()

    companion object {
        private val REQUEST_LINE = Regex("[!#$%&'*+.^_`|~0-9A-Za-z-]+ ([!-~]+) HTTP/1\\.([0-9])")
        private val FIELD =
            Regex("([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\u0000-\u0008\u000a-\u001f\u007f]*?)[ \t]*")
        private val CHUNK_LINE = Regex("([0-9a-fA-F]+)([ \t]*;[^\u0000-\u0008\u000a-\u001f\u007f]*)?")
        private const val LINE_END = "\r\n"
        private const val HEAD_END = "\r\n\r\n"
        private const val MAX_CHUNK_DIGITS = 8

        /** Reads the requests in [bytes]. */
        fun read(bytes: String): List<ReadRequest> {
            val reading = StrictReading(bytes)
            val requests = mutableListOf<ReadRequest>()
            try {
                while (reading.rest.isNotEmpty()) requests += reading.readRequest()
            } catch (_: Refused) {
                requests += ReadRequest.Refused
            } catch (_: Incomplete) {
                return requests
            }
            return requests
        }
    }
}
