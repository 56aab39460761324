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
 * Asks the routers' operators' [endpoints], each `host:port`.
 */
internal class OperatorsClient(private val endpoints: List<String>) {
    private val client = HttpClient.newBuilder().connectTimeout(CONNECT_TIMEOUT).build()

    val hasEndpoints: Boolean get() = endpoints.isNotEmpty()

    /** The status by all endpoints that answer, at least one. */
    fun status(): Either<ControlError, FleetStatus> {
        val answers = endpoints.associateWith { endpoint ->
            exchange(endpoint, "/status", method = "GET").flatMap { body ->
                decoded(endpoint) { controlJson.decodeFromString<RouterStatus>(body) }
            }
        }
        val reached = answers.values.mapNotNull { it.getOrNull() }
        val failures = answers.filterValues { it.isLeft() }
        return if (reached.isEmpty()) {
            noAnswer(
                failures.values,
            )
        } else {
            FleetStatus.of(reached, failures.keys.toList()).right()
        }
    }

    /** The first endpoint's answer to [path] with [query]. */
    fun ask(path: String, query: Map<String, String>): Either<ControlError, JsonObject> {
        val target = path + query.entries.joinToString(prefix = "?", separator = "&") { (name, value) ->
            "$name=${URLEncoder.encode(value, Charsets.UTF_8)}"
        }
        val failures = endpoints.map { endpoint ->
            val answer = exchange(endpoint, target, method = "GET")
                .flatMap { body -> decoded(endpoint) { controlJson.parseToJsonElement(body).jsonObject } }
            if (answer.isRight() || answer.leftOrNull() is ControlError.Failed) return answer
            answer
        }
        return noAnswer(failures)
    }

    /** Sends an empty POST to [path] of [endpoint]. */
    fun post(endpoint: String, path: String): Either<ControlError, Unit> =
        exchange(endpoint, path, method = "POST").map { }

    private fun exchange(endpoint: String, target: String, method: String): Either<ControlError, String> = try {
        val request = HttpRequest.newBuilder(URI("http://$endpoint$target"))
            .method(method, HttpRequest.BodyPublishers.noBody())
            .timeout(ANSWER_TIMEOUT)
            .build()
        val answer = client.send(request, HttpResponse.BodyHandlers.ofString())
        when (answer.statusCode()) {
            in SUCCESSES -> answer.body().right()
            else -> ControlError.Failed("$endpoint answered ${answer.statusCode()}: ${answer.body()}").left()
        }
    } catch (failure: IOException) {
        ControlError.Unreachable("router at $endpoint", failure.message ?: failure.toString()).left()
    }

    private fun <T> decoded(endpoint: String, decode: () -> T): Either<ControlError, T> = try {
        decode().right()
    } catch (failure: IllegalArgumentException) {
        ControlError.Failed("$endpoint answered what cannot be read: ${failure.message}").left()
    }

    private fun noAnswer(failures: Collection<Either<ControlError, *>>): Either<ControlError, Nothing> {
        val first = failures.firstNotNullOfOrNull { it.leftOrNull() }
        return (first ?: ControlError.Usage("no router is named: give --operators or CICADAARCH_OPERATORS")).left()
    }

    private companion object {
        val CONNECT_TIMEOUT: Duration = Duration.ofSeconds(1)
        val ANSWER_TIMEOUT: Duration = Duration.ofSeconds(3)
        val SUCCESSES = 200..299
    }
}
