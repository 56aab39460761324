package org.cicadaarch.experiment.demonstration

import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.cicadaarch.model.fleet.Target
import org.cicadaarch.testkit.EngineLoad
import org.cicadaarch.testkit.RunRecord
import org.cicadaarch.testkit.TargetFault

/**
 * Reads the logs of the stand-ins and the operators' endpoints of the routers.
 */
internal class ControlClient {
    private val client = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(TIMEOUT_SECONDS)).build()
    private val json = Json {
        ignoreUnknownKeys = true
        explicitNulls = false
    }

    /** What [target] ran. */
    fun runs(target: Target): List<RunRecord> = json.decodeFromString(checkNotNull(get(controlAddress(target), "/ran")))

    /** The load that [target] reports, or null when it does not answer. */
    fun load(target: Target): EngineLoad? = get(target.address, "/load")?.let { json.decodeFromString<EngineLoad>(it) }

    /** The control bytes that the router at [operators] sent and received, by kind; empty when it is gone. */
    fun controlBytes(operators: String): Map<String, Double> = get(operators, "/metrics")
        .orEmpty()
        .lineSequence()
        .filter { it.startsWith(CONTROL_BYTES) }
        .groupBy({ it.substringAfter("kind=\"").substringBefore('"') }, { it.substringAfterLast(' ').toDouble() })
        .mapValues { (_, values) -> values.sum() }

    /** Whether the router at [operators] is ready. */
    fun isReady(operators: String): Boolean = get(operators, "/ready") != null

    /** The status of the router at [operators], or null when it does not answer. */
    fun status(operators: String): String? = get(operators, "/status")

    /** Sets the platform's list of VMs at [address] to [entries], a JSON list. */
    fun setVirtualMachines(address: String, entries: String) {
        val request = HttpRequest.newBuilder(URI.create("http://$address/vms"))
            .PUT(HttpRequest.BodyPublishers.ofString(entries))
            .build()
        client.send(request, HttpResponse.BodyHandlers.discarding())
    }

    /** Puts [target] under [fault]. */
    fun setFault(target: Target, fault: TargetFault) = setFault(controlAddress(target), Json.encodeToString(fault))

    /** Puts the stand-in with the control address [address] under [fault], a JSON object. */
    fun setFault(address: String, fault: String) {
        val request = HttpRequest.newBuilder(URI.create("http://$address/fault"))
            .POST(HttpRequest.BodyPublishers.ofString(fault))
            .build()
        val response = client.send(request, HttpResponse.BodyHandlers.discarding())
        check(response.statusCode() == STATUS_OK) { "$address refused the fault $fault" }
    }

    private fun controlAddress(target: Target): String {
        val port = target.address.substringAfterLast(':').toInt() + StandInsExperiment.CONTROL_PORT_OFFSET
        return target.address.substringBeforeLast(':') + ":$port"
    }

    private fun get(address: String, path: String): String? = try {
        val request = HttpRequest.newBuilder(URI.create("http://$address$path"))
            .timeout(Duration.ofSeconds(TIMEOUT_SECONDS))
            .build()
        val response = client.send(request, HttpResponse.BodyHandlers.ofString())
        response.body().takeIf { response.statusCode() == STATUS_OK }
    } catch (_: IOException) {
        null
    }

    private companion object {
        const val TIMEOUT_SECONDS = 2L
        const val STATUS_OK = 200
        const val CONTROL_BYTES = "cicadaarch_control_bytes_total"
    }
}
