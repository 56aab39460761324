package org.cicadaarch.router.caller

import arrow.core.Either
import arrow.core.left
import io.netty.handler.codec.http.HttpResponseStatus
import java.security.SecureRandom
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import org.cicadaarch.configuration.CredentialVerifier
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.fleet.FleetDocument

/**
 * Finds the client account of a request from its `Authorization: Bearer ACCOUNT:SECRET` header.
 *
 * The slow hash runs on threads of its own, so that wrong secrets delay no other request.
 */
class CallerAuthentication : AutoCloseable {
    private val verifier = CredentialVerifier(ByteArray(KEY_BYTES).also { SecureRandom().nextBytes(it) })
    private val threads = ThreadPoolExecutor(
        THREADS,
        THREADS,
        0L,
        TimeUnit.SECONDS,
        ArrayBlockingQueue(QUEUE_CAPACITY),
    ) { Thread(it, "authentication").apply { isDaemon = true } }

    /** Calls [onResult] on another thread with the account, or the answer that refuses the caller. */
    fun authenticate(
        authorization: String?,
        fleet: FleetDocument,
        onResult: (Either<CallerError, AccountId>) -> Unit,
    ) {
        if (authorization == null || !authorization.startsWith(SCHEME)) {
            onResult(unauthorized().left())
            return
        }
        val token = authorization.removePrefix(SCHEME).trim()
        try {
            threads.execute { onResult(verifier.verify(token, fleet.accounts).mapLeft { unauthorized() }) }
        } catch (_: RejectedExecutionException) {
            onResult(overloaded().left())
        }
    }

    override fun close() = threads.shutdown()

    private fun unauthorized(): CallerError = CallerError(
        status = HttpResponseStatus.UNAUTHORIZED,
        code = "unauthorized",
        message = "the header authorization must be \"Bearer ACCOUNT:SECRET\" of a configured client account",
    )

    private fun overloaded(): CallerError = CallerError(
        status = HttpResponseStatus.SERVICE_UNAVAILABLE,
        code = "authentication-busy",
        message = "too many credentials are being checked; send the request again",
    )

    private companion object {
        const val SCHEME = "Bearer "
        const val KEY_BYTES = 32
        const val THREADS = 2
        const val QUEUE_CAPACITY = 4_096
    }
}
