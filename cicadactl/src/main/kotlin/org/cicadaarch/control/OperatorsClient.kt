package org.cicadaarch.control

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import java.io.IOException
import java.net.URI
import java.net.URLEncoder
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject

/**
 * An HTTP client of the operators' interface of routers at [endpoints], each as host:port.
 */
internal class OperatorsClient(private val endpoints: List<String>) {
    private val client = HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build()

    /** Whether any router is named. */
    val hasEndpoints: Boolean get() = endpoints.isNotEmpty()

    /** Returns the status by all endpoints that respond, or an error if none does. */
    fun status(): Either<ControlError, FleetStatus> {
        val responses = endpoints.associateWith { endpoint ->
            exchange(endpoint, "/status", method = "GET").flatMap { body ->
                decoded(endpoint) { controlJson.decodeFromString<RouterStatus>(body) }
            }
        }
        val reached = responses.values.mapNotNull { it.getOrNull() }
        val failures = responses.filterValues { it.isLeft() }
        return if (reached.isEmpty()) {
            noResponse(
                failures.values,
            )
        } else {
            FleetStatus.of(reached, failures.keys.toList()).right()
        }
    }

    /** Returns the response of the first endpoint that responds to a GET request for [path] with [query]. */
    fun get(path: String, query: Map<String, String>): Either<ControlError, JsonObject> {
        val target = path + query.entries.joinToString(prefix = "?", separator = "&") { (name, value) ->
            "$name=${URLEncoder.encode(value, Charsets.UTF_8)}"
        }
        val failures = endpoints.map { endpoint ->
            val response = exchange(endpoint, target, method = "GET")
                .flatMap { body -> decoded(endpoint) { controlJson.parseToJsonElement(body).jsonObject } }
            if (response.isRight() || response.leftOrNull() is ControlError.Failed) return response
            response
        }
        return noResponse(failures)
    }

    /** Sends a POST request without a body for [path] to [endpoint]. */
    fun post(endpoint: String, path: String): Either<ControlError, Unit> =
        exchange(endpoint, path, method = "POST").map { }

    private fun exchange(endpoint: String, target: String, method: String): Either<ControlError, String> = try {
        val request = HttpRequest.newBuilder(URI("http://$endpoint$target"))
            .method(method, HttpRequest.BodyPublishers.noBody())
            .timeout(RESPONSE_TIMEOUT)
            .build()
        val response = client.send(request, HttpResponse.BodyHandlers.ofString())
        when (response.statusCode()) {
            in SUCCESS_STATUSES -> response.body().right()

            else -> ControlError.Failed(
                "$endpoint responded with status ${response.statusCode()}: ${response.body()}",
            ).left()
        }
    } catch (failure: IOException) {
        ControlError.Unreachable("router at $endpoint", failure.message ?: failure.toString()).left()
    }

    private fun <T> decoded(endpoint: String, decode: () -> T): Either<ControlError, T> = try {
        decode().right()
    } catch (failure: IllegalArgumentException) {
        ControlError.Failed("$endpoint sent an unreadable response: ${failure.message}").left()
    }

    private fun noResponse(failures: Collection<Either<ControlError, *>>): Either<ControlError, Nothing> {
        val first = failures.firstNotNullOfOrNull { it.leftOrNull() }
        return (first ?: ControlError.Usage("no router is named: give --operators or CICADAARCH_OPERATORS")).left()
    }

    private companion object {
        val CONNECT_TIMEOUT: Duration = Duration.ofSeconds(1)
        val RESPONSE_TIMEOUT: Duration = Duration.ofSeconds(3)
        val SUCCESS_STATUSES = 200..299
    }
}
