package org.cicadaarch.router.caller

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufInputStream
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.decodeFromStream
import kotlinx.serialization.json.intOrNull
import net.openhft.hashing.LongHashFunction
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.ChatId
import org.cicadaarch.model.Fingerprint
import org.cicadaarch.model.Idempotency
import org.cicadaarch.model.IdempotencyKey
import org.cicadaarch.model.Priority
import org.cicadaarch.model.RequestHead
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.fleet.ServiceKind
import org.cicadaarch.protocol.ClientHeaders
import org.cicadaarch.store.JsonNesting

/**
 * Turns a caller's HTTP request into a [CallerRequest]: chat completions by the model's name in the body, plain
 * services by path `/services/NAME/…`.
 */
class CallerRequestParser(private val identities: RequestIdSource) {
    /** The request of [account], or the answer that tells what is wrong with it. */
    fun parse(
        request: HttpRequest,
        body: ByteBuf,
        account: AccountId,
        fleet: FleetDocument,
    ): Either<CallerError, CallerRequest> = headersOf(request).flatMap { headers ->
        val path = request.uri().substringBefore('?')
        when {
            path == CHAT_COMPLETIONS_PATH && request.method() == HttpMethod.POST ->
                chatCompletion(request, body, account, fleet, headers)

            path.startsWith(SERVICES_PREFIX) -> serviceCall(request, body, account, fleet, headers)

            else -> notFound("no such path: use $CHAT_COMPLETIONS_PATH or ${SERVICES_PREFIX}NAME/…").left()
        }
    }

    private fun chatCompletion(
        request: HttpRequest,
        body: ByteBuf,
        account: AccountId,
        fleet: FleetDocument,
        headers: RequestHeaders,
    ): Either<CallerError, CallerRequest> = jsonOf(body).flatMap { json ->
        val model = (json["model"] as? JsonPrimitive)?.contentOrNull
        val service = model?.let(::ServiceName)
        val messages = json["messages"] as? JsonArray
        when {
            service == null -> badRequest("missing-model", "the body's field \"model\" must name a model").left()

            fleet.services[service]?.kind != ServiceKind.MODEL -> notFound("no model named \"$model\"").left()

            messages == null -> badRequest("missing-messages", "the body's field \"messages\" must be a list").left()

            else -> callerRequest(
                request = request,
                body = body,
                path = CHAT_COMPLETIONS_PATH,
                headers = headers,
                head = head(account, service, fleet, headers, body, default = Idempotency.Idempotent).copy(
                    promptTokens = tokensIn(messages),
                    outputTokens = outputTokens(json),
                    streaming = (json["stream"] as? JsonPrimitive)?.booleanOrNull == true,
                    turn = headers.turn ?: messages.size.coerceAtLeast(1),
                ),
            ).right()
        }
    }

    private fun serviceCall(
        request: HttpRequest,
        body: ByteBuf,
        account: AccountId,
        fleet: FleetDocument,
        headers: RequestHeaders,
    ): Either<CallerError, CallerRequest> {
        val rest = request.uri().removePrefix(SERVICES_PREFIX)
        val service = ServiceName(rest.substringBefore('?').substringBefore('/'))
        if (fleet.services[service]?.kind != ServiceKind.PLAIN) return notFound("no service named \"$service\"").left()
        val path = rest.removePrefix(service.value).let { if (it.startsWith('/')) it else "/$it" }
        val default = if (request.method() in IDEMPOTENT_METHODS) Idempotency.Idempotent else Idempotency.Keyless
        val head = head(account, service, fleet, headers, body, default)
        return callerRequest(request, body, path, headers, head).right()
    }

    private fun callerRequest(
        request: HttpRequest,
        body: ByteBuf,
        path: String,
        headers: RequestHeaders,
        head: RequestHead,
    ): CallerRequest = CallerRequest(
        head = head.copy(timeAllowed = headers.timeAllowed ?: head.timeAllowed),
        method = request.method(),
        path = path,
        headers = request.headers(),
        body = body,
    )

    private fun head(
        account: AccountId,
        service: ServiceName,
        fleet: FleetDocument,
        headers: RequestHeaders,
        body: ByteBuf,
        default: Idempotency,
    ): RequestHead = RequestHead(
        id = identities.next(),
        account = account,
        service = service,
        chat = headers.chat,
        turn = headers.turn,
        priority = headers.priority,
        idempotency = when {
            headers.key != null -> Idempotency.Keyed(headers.key)
            headers.nonIdempotent -> Idempotency.Keyless
            else -> default
        },
        timeAllowed = fleet.services.getValue(service).timeAllowed,
        promptTokens = 0,
        outputTokens = 0,
        fingerprint = fingerprint(account, service, body),
        streaming = false,
    )

    private fun headersOf(request: HttpRequest): Either<CallerError, RequestHeaders> {
        val headers = request.headers()
        val priority = headers[ClientHeaders.PRIORITY]
        val deadline = headers[ClientHeaders.DEADLINE_MILLISECONDS]
        val turn = headers[ClientHeaders.TURN]
        val named = listOf(ClientHeaders.CHAT, ClientHeaders.IDEMPOTENCY_KEY)
            .firstOrNull { name -> headers[name]?.let { it.isBlank() || it.length > MAXIMUM_NAME_LENGTH } == true }
        return when {
            named != null -> badHeader(named, "1 to $MAXIMUM_NAME_LENGTH characters")

            priority != null && priorityOf(priority) == null ->
                badHeader(ClientHeaders.PRIORITY, "interactive, standard or batch")

            deadline != null && deadline.toLongOrNull()?.takeIf { it in 1..MAXIMUM_DEADLINE_MILLISECONDS } == null ->
                badHeader(ClientHeaders.DEADLINE_MILLISECONDS, "1 to $MAXIMUM_DEADLINE_MILLISECONDS")

            turn != null && turn.toIntOrNull()?.takeIf { it > 0 } == null ->
                badHeader(ClientHeaders.TURN, "a whole number from 1")

            else -> RequestHeaders(
                chat = headers[ClientHeaders.CHAT]?.let(::ChatId),
                turn = turn?.toInt(),
                priority = priority?.let(::priorityOf) ?: Priority.STANDARD,
                timeAllowed = deadline?.toLong()?.milliseconds,
                key = headers[ClientHeaders.IDEMPOTENCY_KEY]?.let(::IdempotencyKey),
                nonIdempotent = headers[ClientHeaders.NON_IDEMPOTENT].equals("true", ignoreCase = true),
            ).right()
        }
    }

    private fun badHeader(name: String, allowed: String): Either<CallerError, RequestHeaders> =
        badRequest("bad-header", "the header $name allows $allowed").left()

    private fun priorityOf(text: String): Priority? =
        Priority.entries.firstOrNull { it.name.equals(text, ignoreCase = true) }

    @OptIn(ExperimentalSerializationApi::class)
    private fun jsonOf(body: ByteBuf): Either<CallerError, JsonObject> = try {
        when {
            JsonNesting.depth(body) > MAXIMUM_NESTING ->
                badRequest("bad-json", "the body is nested deeper than $MAXIMUM_NESTING levels").left()

            else -> objectOf(Json.decodeFromStream<JsonElement>(ByteBufInputStream(body.duplicate())))
        }
    } catch (exception: SerializationException) {
        badRequest("bad-json", "the body is not JSON: ${exception.message?.lineSequence()?.firstOrNull()}").left()
    }

    private fun objectOf(json: JsonElement): Either<CallerError, JsonObject> = when (json) {
        is JsonObject -> json.right()
        else -> badRequest("bad-json", "the body must be a JSON object").left()
    }

    private fun tokensIn(messages: JsonArray): Int {
        val characters = messages.sumOf { message ->
            when (val content = (message as? JsonObject)?.get("content")) {
                is JsonPrimitive -> content.content.length
                null -> 0
                else -> content.toString().length
            }
        }
        return (characters + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN
    }

    private fun outputTokens(json: JsonObject): Int = listOf("max_completion_tokens", "max_tokens")
        .firstNotNullOfOrNull { (json[it] as? JsonPrimitive)?.intOrNull }
        ?.coerceAtLeast(1)
        ?: DEFAULT_OUTPUT_TOKENS

    private fun fingerprint(account: AccountId, service: ServiceName, body: ByteBuf): Fingerprint {
        val seed = LongHashFunction.xx3().hashChars("$account/$service")
        val bytes = ByteArray(body.readableBytes()).also { body.getBytes(body.readerIndex(), it) }
        return Fingerprint(LongHashFunction.xx3(seed).hashBytes(bytes))
    }

    private fun badRequest(code: String, message: String): CallerError =
        CallerError(HttpResponseStatus.BAD_REQUEST, code, message)

    private fun notFound(message: String): CallerError = CallerError(HttpResponseStatus.NOT_FOUND, "not-found", message)

    private data class RequestHeaders(
        val chat: ChatId?,
        val turn: Int?,
        val priority: Priority,
        val timeAllowed: Duration?,
        val key: IdempotencyKey?,
        val nonIdempotent: Boolean,
    )

    private companion object {
        const val CHAT_COMPLETIONS_PATH = "/v1/chat/completions"
        const val SERVICES_PREFIX = "/services/"
        const val MAXIMUM_NAME_LENGTH = 200
        const val MAXIMUM_DEADLINE_MILLISECONDS = 3_600_000L
        const val CHARACTERS_PER_TOKEN = 4

        /** The JSON reader descends by recursion, so deeper bodies would overflow the stack. */
        const val MAXIMUM_NESTING = 128
        const val DEFAULT_OUTPUT_TOKENS = 256
        val IDEMPOTENT_METHODS = setOf(
            HttpMethod.GET,
            HttpMethod.HEAD,
            HttpMethod.PUT,
            HttpMethod.DELETE,
            HttpMethod.OPTIONS,
        )
    }
}
