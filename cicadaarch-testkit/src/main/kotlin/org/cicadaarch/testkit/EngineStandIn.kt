package org.cicadaarch.testkit

import kotlin.time.Duration
import kotlinx.serialization.SerializationException

/**
 * Stands in for a model engine that speaks the OpenAI chat completions format, with the text of [AnswerText].
 *
 * Besides chats it serves its load, cache events, cache export and import, orders and state. `GET /ran` lists what ran,
 * `GET /crashes` counts crashes, and `POST /fault` sets a fault; all also work on [controlPort] while it is crashed.
 */
class EngineStandIn(port: Int = 0, controlPort: Int = 0, private val options: EngineOptions = EngineOptions()) :
    AutoCloseable {
    private val control = TargetControl { server }
    private val events = CacheEventLog(options.eventGapShare, options.seed)
    private val cache = PrefixCache(options.cacheTokens) { kind, prefix -> reportEvent(kind, prefix) }
    private val batch = EngineBatch(
        options = options,
        cache = cache,
        control = control,
        schedule = { delay, action -> server.schedule(delay, action) },
        onLoadChanged = { reportLoad() },
    )
    private var orders = EngineOrderState()
    private var reportedLoad = EngineLoad(slots = options.slots)
    private val server: StandInServer = StandInServer(port, controlPort) { handle(it) }

    /** The port of the engine. */
    val port: Int get() = server.port

    /** The port that stays reachable while the engine is crashed. */
    val controlPort: Int get() = server.controlPort

    override fun close() = server.close()

    private fun handle(exchange: StandInExchange) {
        if (control.handle(exchange)) return
        when (exchange.path) {
            "/v1/chat/completions" -> if (!control.crashesOn(exchange)) chat(exchange)
            "/load" -> exchange.answer(reportedLoad)
            "/cache/events" -> exchange.answer(events.after(exchange.number("after")))
            "/cache/export" -> exchange.answer(CacheExport(cache.prefixes.asReversed()))
            "/cache/import" -> importCache(exchange)
            "/orders" -> follow(exchange)
            "/state" -> exchange.answer(orders)
            else -> exchange.answer(ErrorMessage("no such path"), status = 404)
        }
    }

    private fun chat(exchange: StandInExchange) {
        val request = try {
            testkitJson.decodeFromString<ChatRequest>(exchange.body)
        } catch (exception: SerializationException) {
            return exchange.answer(ErrorMessage(exception.message.orEmpty()), status = 400)
        }
        if (request.messages.isEmpty()) return exchange.answer(ErrorMessage("no messages"), status = 400)
        val lastToken = request.maximumTokens ?: options.defaultOutputTokens
        val firstToken = exchange.header("x-cicadaarch-resume-offset")?.toIntOrNull() ?: 0
        batch.submit(EngineRun(exchange, request, firstToken.coerceIn(0, lastToken), lastToken))
    }

    private fun importCache(exchange: StandInExchange) {
        cache.store(testkitJson.decodeFromString<CacheExport>(exchange.body).prefixes)
        reportLoad()
        exchange.answer(EngineLoad(cachedTokens = cache.tokens, slots = options.slots))
    }

    private fun follow(exchange: StandInExchange) {
        val order = testkitJson.decodeFromString<EngineOrder>(exchange.body)
        if (options.checksFencing && order.fencingNumber < orders.highestFencingNumber) {
            return exchange.answer(orders, status = 409)
        }
        orders = orders.follow(order)
        exchange.answer(orders)
    }

    private fun reportLoad() {
        val load = batch.load
        after(options.loadLag) { reportedLoad = load }
    }

    private fun reportEvent(kind: CacheEvent.Kind, prefix: CachePrefix) {
        val event = events.next(kind, prefix) ?: return
        after(options.eventLag) { events.report(event) }
    }

    private fun after(lag: Duration, action: () -> Unit) =
        if (lag.isPositive()) server.schedule(lag, action) else action()
}
