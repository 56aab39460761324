package org.cicadaarch.router.target

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import org.cicadaarch.request.AttemptFailure

/**
 * Hears the answer to one request to a target, on the event loop of the request. After [onCompleted] or [onFailed]
 * nothing more is called.
 */
interface TargetAnswerListener {
    /** The head of the answer came. */
    fun onHead(response: HttpResponse)

    /** A part of the body came; the listener owns [content]. */
    fun onContent(content: ByteBuf)

    /** The answer is whole. */
    fun onCompleted()

    /** The answer will not become whole. */
    fun onFailed(failure: AttemptFailure)
}
