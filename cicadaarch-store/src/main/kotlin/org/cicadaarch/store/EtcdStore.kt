package org.cicadaarch.store

import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.encodeToString
import org.cicadaarch.model.store.ExpectedState
import org.cicadaarch.model.store.LeaseId
import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreResult

/**
 * A client of the platform's key-value store, which has the etcd v3 JSON API over HTTP.
 *
 * A command is [refused][StoreResult.Refused] only if its request was not sent or the store rejected it. It is
 * [unanswered][StoreResult.Unanswered] if no response arrived within [requestTimeout], or one with a status that leaves
 * open whether the command took effect, such as 500.
 */
class EtcdStore(eventLoopGroup: EventLoopGroup, endpoint: InetSocketAddress, private val requestTimeout: Duration) :
    Store {
    private val client = HttpClient(eventLoopGroup, endpoint)

    override fun execute(command: StoreCommand, onResult: (StoreResult) -> Unit) = when (command) {
        is StoreCommand.Read -> read(RangeRequest(key = command.key, serializable = command.mayBeStale), onResult)
        is StoreCommand.ReadPrefix -> read(prefixRequest(command), onResult)
        is StoreCommand.CompareAndSet -> write(command.key, command.expected, putOperation(command), onResult)
        is StoreCommand.CompareAndDelete -> write(command.key, command.expected, deleteOperation(command), onResult)
        is StoreCommand.GrantLease -> grantLease(command, onResult)
        is StoreCommand.RenewLease -> renewLease(command, onResult)
        is StoreCommand.RevokeLease -> revokeLease(command, onResult)
        is StoreCommand.AwaitChange -> awaitChange(command, onResult)
    }

    override fun close() = client.close()

    private fun read(request: RangeRequest, onResult: (StoreResult) -> Unit) =
        post<RangeRequest, RangeResponse>("/v3/kv/range", request, onResult) { response ->
            StoreResult.Values(response.keyValues.map { it.toStoredValue() }, response.header.revision)
        }

    private fun prefixRequest(command: StoreCommand.ReadPrefix): RangeRequest = RangeRequest(
        key = maxOf(command.from, command.prefix),
        rangeEnd = prefixEnd(command.prefix),
        limit = command.limit.toLong(),
    )

    private fun putOperation(command: StoreCommand.CompareAndSet): RequestOperation =
        RequestOperation(put = PutRequest(command.key, command.value, command.lease?.value ?: 0))

    private fun deleteOperation(command: StoreCommand.CompareAndDelete): RequestOperation =
        RequestOperation(delete = DeleteRequest(command.key))

    private fun write(
        key: String,
        expected: ExpectedState,
        operation: RequestOperation,
        onResult: (StoreResult) -> Unit,
    ) {
        val request = TransactionRequest(
            compare = listOf(comparison(key, expected)),
            success = listOf(operation),
            failure = listOf(RequestOperation(range = RangeRequest(key))),
        )
        post<TransactionRequest, TransactionResponse>("/v3/kv/txn", request, onResult) { response ->
            when {
                response.succeeded -> StoreResult.Written(response.header.revision)
                else -> StoreResult.Conflict(currentValue(response))
            }
        }
    }

    private fun comparison(key: String, expected: ExpectedState): Comparison = when (expected) {
        is ExpectedState.Absent -> Comparison(key = key, target = "CREATE", createRevision = 0)
        is ExpectedState.AtVersion -> Comparison(key = key, target = "MOD", modifyRevision = expected.version.revision)
    }

    private fun currentValue(response: TransactionResponse) =
        response.responses.firstNotNullOfOrNull { it.range }?.keyValues?.firstOrNull()?.toStoredValue()

    private fun grantLease(command: StoreCommand.GrantLease, onResult: (StoreResult) -> Unit) {
        val request = LeaseRequest(seconds = roundUpToSeconds(command.timeToLive))
        post<LeaseRequest, LeaseResponse>("/v3/lease/grant", request, onResult) { it.toResult() }
    }

    private fun renewLease(command: StoreCommand.RenewLease, onResult: (StoreResult) -> Unit) =
        post<LeaseRequest, LeaseKeepAliveResponse>(
            "/v3/lease/keepalive",
            LeaseRequest(id = command.lease.value),
            onResult,
        ) {
            it.result.toResult()
        }

    private fun revokeLease(command: StoreCommand.RevokeLease, onResult: (StoreResult) -> Unit) =
        post<LeaseRequest, LeaseRevokeResponse>("/v3/lease/revoke", LeaseRequest(id = command.lease.value), onResult) {
            StoreResult.Written(it.header.revision)
        }

    private fun LeaseResponse.toResult(): StoreResult =
        if (seconds > 0) StoreResult.LeaseHeld(LeaseId(id), seconds.seconds) else StoreResult.LeaseLost

    private fun roundUpToSeconds(duration: Duration): Long =
        duration.inWholeSeconds + if (duration > duration.inWholeSeconds.seconds) 1 else 0

    private fun awaitChange(command: StoreCommand.AwaitChange, onResult: (StoreResult) -> Unit) {
        val createRequest = WatchCreateRequest(
            key = command.prefix,
            rangeEnd = prefixEnd(command.prefix),
            startRevision = command.after.revision + 1,
        )
        client.stream(
            call = HttpCall(HttpMethod.POST, "/v3/watch", platformJson.encodeToString(WatchRequest(createRequest))),
            timeout = requestTimeout,
            handler = EtcdWatchHandler(command, requestTimeout, onResult),
            onNotSent = { onResult(StoreResult.Refused(it)) },
        )
    }

    private inline fun <reified Q, reified R> post(
        path: String,
        request: Q,
        noinline onResult: (StoreResult) -> Unit,
        crossinline toResult: (R) -> StoreResult,
    ) {
        val call = HttpCall(HttpMethod.POST, path, platformJson.encodeToString(request))
        client.exchange(call, requestTimeout) { outcome ->
            onResult(outcomeResult(outcome) { body -> toResult(platformJson.decodeFromString<R>(body)) })
        }
    }

    private fun outcomeResult(outcome: HttpOutcome, decode: (String) -> StoreResult): StoreResult = when (outcome) {
        is HttpOutcome.Answered -> responseResult(outcome, decode)
        is HttpOutcome.NotSent -> StoreResult.Refused(outcome.reason)
        is HttpOutcome.Broken -> StoreResult.Unanswered(outcome.reason)
        is HttpOutcome.TimedOut -> StoreResult.Unanswered("no response within $requestTimeout", isTimeout = true)
    }

    private fun responseResult(response: HttpOutcome.Answered, decode: (String) -> StoreResult): StoreResult =
        UntrustedJson.decode(response.body) { body ->
            when (response.status) {
                HttpResponseStatus.OK.code() -> decode(body)
                in REJECTION_STATUSES -> rejectionResult(platformJson.decodeFromString(body))
                else -> StoreResult.Unanswered("store responded with status ${response.status}: $body")
            }
        }.fold(ifLeft = { StoreResult.Unanswered("malformed response: $it") }, ifRight = { it })

    private fun rejectionResult(error: ErrorResponse): StoreResult =
        if (LEASE_NOT_FOUND in error.message) StoreResult.LeaseLost else StoreResult.Refused(error.message)

    // The exclusive end of the range of keys with the prefix. For an empty prefix, "\u0000" stands for all keys.
    private fun prefixEnd(prefix: String): String = when {
        prefix.isEmpty() -> ALL_KEYS_END
        else -> prefix.dropLast(1) + (prefix.last() + 1)
    }

    private companion object {
        const val LEASE_NOT_FOUND = "requested lease not found"
        const val ALL_KEYS_END = "\u0000"

        // Without 408 and 499: they stand for a cancelled call, which may have taken effect.
        val REJECTION_STATUSES = setOf(400, 401, 403, 404, 409, 412, 413, 429)
    }
}
