package org.cicadaarch.testkit

/**
 * Stands in for a plain service that answers every method and path.
 *
 * `GET /ran` lists what ran, `GET /crashes` and `GET /load` count, and `POST /fault` sets a fault; they also work on
 * [controlPort] while the service is crashed.
 */
class PlainServiceStandIn(
    port: Int = 0,
    controlPort: Int = 0,
    private val options: PlainServiceOptions = PlainServiceOptions(),
) : AutoCloseable {
    private val control = TargetControl { server }
    private val answers = mutableMapOf<String, PlainAnswer>()
    private var running = 0
    private val server: StandInServer = StandInServer(port, controlPort) { handle(it) }

    /** The port of the service. */
    val port: Int get() = server.port

    /** The port that stays reachable while the service is crashed. */
    val controlPort: Int get() = server.controlPort

    override fun close() = server.close()

    private fun handle(exchange: StandInExchange) {
        when {
            control.handle(exchange) -> return
            exchange.path == "/load" || isProbe(exchange) -> exchange.answer(EngineLoad(running = running))
            control.crashesOn(exchange) -> return
            else -> run(exchange)
        }
    }

    // Routers ask without a request's identity whether a target lives; that runs nothing.
    private fun isProbe(exchange: StandInExchange): Boolean =
        exchange.method == "GET" && exchange.path == "/health" && exchange.header("x-cicadaarch-request") == null

    private fun run(exchange: StandInExchange) {
        val key = exchange.header("idempotency-key").takeIf { options.deduplicates }
        val answer = key?.let { answers[it] } ?: runOnce(exchange).also { if (key != null) answers[key] = it }
        running++
        val delay = control.slowed(options.answerDelay)
        if (delay.isPositive()) server.schedule(delay) { finish(exchange, answer) } else finish(exchange, answer)
    }

    private fun runOnce(exchange: StandInExchange): PlainAnswer {
        val number = control.runs.start(exchange)
        control.runs.finish(number)
        return PlainAnswer(options.service, exchange.path, BodyHash.of(exchange.body), number + 1)
    }

    private fun finish(exchange: StandInExchange, answer: PlainAnswer) {
        running--
        exchange.answer(answer)
    }
}
