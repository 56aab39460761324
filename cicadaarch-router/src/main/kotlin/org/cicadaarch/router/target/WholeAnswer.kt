package org.cicadaarch.router.target

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import java.nio.charset.StandardCharsets
import org.cicadaarch.request.AttemptFailure

/**
 * Collects a short answer; [onResult] gets its status and text, or null when none came, once.
 */
internal class WholeAnswer(private val onResult: (Pair<Int, String>?) -> Unit) : TargetAnswerListener {
    private var status = 0
    private val text = StringBuilder()
    private var given = false

    override fun onHead(response: HttpResponse) {
        status = response.status().code()
    }

    override fun onContent(content: ByteBuf) {
        if (text.length < MAXIMUM_CHARACTERS) text.append(content.toString(StandardCharsets.UTF_8))
        content.release()
    }

    override fun onCompleted() = give(status to text.toString())

    override fun onFailed(failure: AttemptFailure) = give(null)

    /** No answer came in time. */
    fun timedOut() = give(null)

    private fun give(result: Pair<Int, String>?) {
        if (given) return
        given = true
        onResult(result)
    }

    private companion object {
        const val MAXIMUM_CHARACTERS = 1_000_000
    }
}
