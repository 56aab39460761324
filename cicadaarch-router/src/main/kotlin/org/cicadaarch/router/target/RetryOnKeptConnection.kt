package org.cicadaarch.router.target

import io.netty.handler.codec.http.HttpResponse
import org.cicadaarch.request.AttemptFailure

/**
 * Sends a repeatable request again on a new connection when a kept one breaks before the answer begins: most likely
 * the target had closed it while it was idle.
 */
internal class RetryOnKeptConnection(private val listener: TargetAnswerListener, private val retry: () -> Unit) :
    TargetAnswerListener by listener {
    private var begun = false

    override fun onHead(response: HttpResponse) {
        begun = true
        listener.onHead(response)
    }

    override fun onFailed(failure: AttemptFailure) {
        if (begun) listener.onFailed(failure) else retry()
    }
}
