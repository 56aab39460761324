package org.cicadaarch.experiment.demonstration

import java.io.IOException
import java.io.UncheckedIOException
import java.net.ConnectException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.stream.Stream
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.Idempotency
import org.cicadaarch.model.Outcome
import org.cicadaarch.model.RequestId
import org.cicadaarch.protocol.ClientHeaders

/**
 * Sends callers' requests to a router over HTTP and reads streamed and plain answers.
 */
internal class CallerClient {
    private val client = HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofSeconds(CONNECT_TIMEOUT_SECONDS))
        .build()

    /** Streams one turn of [chat] from the router at [address]. */
    fun chat(address: String, account: AccountId, chat: String, turn: Int, body: String): CallerAnswer {
        val request = request(address, "/v1/chat/completions", account)
            .header(ClientHeaders.CHAT, chat)
            .header(ClientHeaders.TURN, turn.toString())
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build()
        return send { begun ->
            val response = client.send(request, HttpResponse.BodyHandlers.ofLines())
            if (response.statusCode() == STATUS_OK) stream(response, begun) else refusal(response)
        }
    }

    /** Makes one call of a plain service: a `PUT` when it is idempotent, a `POST` with its key or none otherwise. */
    fun call(address: String, account: AccountId, path: String, idempotency: Idempotency, body: String): CallerAnswer {
        val request = request(address, path, account)
        val content = HttpRequest.BodyPublishers.ofString(body)
        when (idempotency) {
            Idempotency.Idempotent -> request.PUT(content)
            Idempotency.Keyless -> request.POST(content)
            is Idempotency.Keyed -> request.header(ClientHeaders.IDEMPOTENCY_KEY, idempotency.key.value).POST(content)
        }
        return send { begun ->
            val response = client.send(request.build(), HttpResponse.BodyHandlers.ofString())
            CallerAnswer(
                outcome = outcomeOf(response),
                text = response.body().takeIf { response.statusCode() == STATUS_OK }.orEmpty(),
                firstByteMilliseconds = System.currentTimeMillis() - begun,
                request = requestOf(response),
            )
        }
    }

    private fun request(address: String, path: String, account: AccountId): HttpRequest.Builder = HttpRequest
        .newBuilder(URI.create("http://$address$path"))
        .timeout(Duration.ofSeconds(REQUEST_TIMEOUT_SECONDS))
        .header("authorization", "Bearer $account:$account-secret")
        .header("content-type", "application/json")

    private fun send(exchange: (Long) -> CallerAnswer): CallerAnswer = try {
        exchange(System.currentTimeMillis())
    } catch (_: ConnectException) {
        CallerAnswer(outcome = null, text = "", firstByteMilliseconds = null, isSent = false)
    } catch (exception: IOException) {
        CallerAnswer(outcome = null, text = "", firstByteMilliseconds = null, failure = exception.toString())
    }

    private fun stream(response: HttpResponse<Stream<String>>, begun: Long): CallerAnswer {
        val answer = StreamedAnswer(begun)
        try {
            response.body().forEach(answer::line)
        } catch (exception: UncheckedIOException) {
            return answer.result().copy(outcome = null, request = requestOf(response), failure = exception.toString())
        }
        return answer.result().copy(request = requestOf(response))
    }

    private fun refusal(response: HttpResponse<*>): CallerAnswer =
        CallerAnswer(outcomeOf(response), text = "", firstByteMilliseconds = null, request = requestOf(response))

    private fun requestOf(response: HttpResponse<*>): RequestId? =
        response.headers().firstValue(ClientHeaders.REQUEST).map(::RequestId).orElse(null)

    private fun outcomeOf(response: HttpResponse<*>): Outcome? =
        response.headers().firstValue(ClientHeaders.OUTCOME).map(::outcomeOf).orElse(null)

    private class StreamedAnswer(private val begun: Long) {
        private val text = StringBuilder()
        private var firstByte: Long? = null
        private var outcome: Outcome? = null
        private var promptTokens = 0
        private var cachedTokens = 0

        fun line(line: String) {
            val data = line.removePrefix("data: ").takeIf { line.startsWith("data: {") } ?: return
            val json = Json.parseToJsonElement(data).jsonObject
            json["outcome"]?.let { outcome = outcomeOf(it.jsonPrimitive.content) }
            json["choices"]?.jsonArray?.firstOrNull()?.jsonObject?.get("delta")?.jsonObject?.let(::delta)
            (json["usage"] as? JsonObject)?.let(::usage)
        }

        fun result(): CallerAnswer = CallerAnswer(outcome, text.toString(), firstByte, promptTokens, cachedTokens)

        private fun delta(delta: JsonObject) {
            val content = delta["content"]?.jsonPrimitive?.contentOrNull ?: return
            if (firstByte == null) firstByte = System.currentTimeMillis() - begun
            text.append(content)
        }

        private fun usage(usage: JsonObject) {
            promptTokens = usage.getValue("prompt_tokens").jsonPrimitive.int
            cachedTokens = usage["prompt_tokens_details"]?.jsonObject?.get("cached_tokens")?.jsonPrimitive?.int ?: 0
        }
    }

    private companion object {
        const val CONNECT_TIMEOUT_SECONDS = 2L
        const val REQUEST_TIMEOUT_SECONDS = 20L
        const val STATUS_OK = 200

        fun outcomeOf(label: String): Outcome? = Outcome.entries.firstOrNull { it.label == label }
    }
}
