package org.cicadaarch.testkit

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/**
 * Blocking HTTP calls to a stand-in; each helper makes its own client, so that no connection is shared.
 */
internal class LoopbackHttp(private val port: Int) {
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    fun get(path: String): String = send("GET", path).body()

    fun post(path: String, body: String, headers: Map<String, String> = emptyMap()): HttpResponse<String> =
        send("POST", path, body, headers)

    fun send(
        method: String,
        path: String,
        body: String = "",
        headers: Map<String, String> = emptyMap(),
    ): HttpResponse<String> {
        val request = HttpRequest.newBuilder(URI("http://127.0.0.1:$port$path"))
            .timeout(Duration.ofSeconds(20))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
        headers.forEach { request.header(it.key, it.value) }
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString())
    }
}
