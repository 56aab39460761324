package org.cicadaarch.testkit

import kotlin.time.Duration
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.jsonArray

/**
 * Stands in for the platform's list of VMs: `PUT /vms` sets the list and `GET /vms` shows it after [lag].
 */
class VirtualMachineListStandIn(port: Int = 0, controlPort: Int = 0, private val lag: Duration = Duration.ZERO) :
    AutoCloseable {
    private var visible = JsonArray(emptyList())
    private val server = StandInServer(port, controlPort) { handle(it) }

    /** The port of the list. */
    val port: Int get() = server.port

    /** A second port with the same paths. */
    val controlPort: Int get() = server.controlPort

    override fun close() = server.close()

    private fun handle(exchange: StandInExchange) = when {
        exchange.path != "/vms" -> exchange.answer(ErrorMessage("no such path"), status = 404)
        exchange.method == "PUT" -> set(exchange)
        else -> exchange.answer(visible)
    }

    private fun set(exchange: StandInExchange) {
        val entries = testkitJson.parseToJsonElement(exchange.body).jsonArray
        if (lag.isPositive()) server.schedule(lag) { visible = entries } else visible = entries
        exchange.answer(entries)
    }
}
