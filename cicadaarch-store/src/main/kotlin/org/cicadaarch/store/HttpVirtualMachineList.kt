package org.cicadaarch.store

import arrow.core.Either
import arrow.core.left
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The platform's list of VMs, fetched by `GET /vms` from an endpoint as a JSON list of [VirtualMachineEntry].
 */
class HttpVirtualMachineList(
    eventLoopGroup: EventLoopGroup,
    endpoint: InetSocketAddress,
    private val requestTimeout: Duration = DEFAULT_REQUEST_TIMEOUT,
) : VirtualMachineList {
    private val client = HttpClient(eventLoopGroup, endpoint)

    override fun fetch(onResult: (Either<PlatformError, List<VirtualMachine>>) -> Unit) =
        client.exchange(HttpCall(HttpMethod.GET, "/vms"), requestTimeout) { onResult(resultOf(it)) }

    override fun close() = client.close()

    private fun resultOf(outcome: HttpOutcome): Either<PlatformError, List<VirtualMachine>> = when (outcome) {
        is HttpOutcome.Answered -> parse(outcome)
        is HttpOutcome.NotSent -> PlatformError.Unreachable(outcome.reason).left()
        is HttpOutcome.Broken -> PlatformError.Unreachable(outcome.reason).left()
        is HttpOutcome.TimedOut -> PlatformError.TimedOut.left()
    }

    private fun parse(response: HttpOutcome.Answered): Either<PlatformError, List<VirtualMachine>> =
        when (response.status) {
            HttpResponseStatus.OK.code() ->
                UntrustedJson
                    .decode(response.body) { text ->
                        platformJson.decodeFromString<List<VirtualMachineEntry>>(text).map { it.toVirtualMachine() }
                    }
                    .mapLeft { PlatformError.Malformed(it) }

            else -> PlatformError.Malformed("unexpected status ${response.status}").left()
        }

    private companion object {
        val DEFAULT_REQUEST_TIMEOUT = 2.seconds
    }
}
