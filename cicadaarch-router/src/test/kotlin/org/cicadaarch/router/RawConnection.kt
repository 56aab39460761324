package org.cicadaarch.router

import java.io.BufferedInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.InputStream
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketException

/**
 * A connection on which a test writes any bytes and reads answers.
 */
class RawConnection(port: Int, receiveBufferBytes: Int? = null) : AutoCloseable {
    private val socket = Socket().apply {
        if (receiveBufferBytes != null) receiveBufferSize = receiveBufferBytes
        soTimeout = TIMEOUT_MILLISECONDS
        connect(InetSocketAddress("127.0.0.1", port))
    }
    private val input: InputStream = BufferedInputStream(socket.getInputStream())

    /** Writes [bytes]; the router may have closed the connection before it read all of them. */
    fun send(bytes: ByteArray) {
        try {
            socket.getOutputStream().write(bytes)
        } catch (_: IOException) {
            socket.shutdownOutput()
        }
    }

    /** Writes [text] and reads the answer. */
    fun ask(text: String): RawAnswer {
        send(text.toByteArray())
        return read()
    }

    /** Reads one whole answer. */
    fun read(): RawAnswer {
        val status = line().split(' ')[1].toInt()
        val headers = generateSequence { line() }
            .takeWhile { it.isNotEmpty() }
            .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        val length = headers["content-length"]?.toInt()
        val body = if (length == null) chunks() else input.readNBytes(length)
        return RawAnswer(status, headers, body.toString(Charsets.UTF_8))
    }

    /** Whether the router closes the connection without another byte. */
    fun isClosedByRouter(): Boolean = try {
        input.read() < 0
    } catch (_: SocketException) {
        true
    }

    override fun close() = socket.close()

    private fun chunks(): ByteArray {
        val body = ByteArrayOutputStream()
        while (true) {
            val size = line().toInt(radix = 16)
            body.write(input.readNBytes(size))
            line()
            if (size == 0) return body.toByteArray()
        }
    }

    private fun line(): String {
        val line = ByteArrayOutputStream()
        while (true) {
            val next = input.read()
            check(next >= 0) { "the connection ended within an answer" }
            if (next == '\n'.code) return line.toString(Charsets.ISO_8859_1).removeSuffix("\r")
            line.write(next)
        }
    }

    private companion object {
        const val TIMEOUT_MILLISECONDS = 20_000
    }
}
