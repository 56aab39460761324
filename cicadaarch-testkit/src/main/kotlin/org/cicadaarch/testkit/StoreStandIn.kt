package org.cicadaarch.testkit

import java.util.Base64
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject

/**
 * Stands in for the platform's store: the range, transaction, lease and watch calls of the etcd v3 JSON format.
 *
 * `POST /fault` sets a fault and `GET /calls` counts the calls by kind; both also work on [controlPort] while the store
 * is down.
 */
class StoreStandIn(port: Int = 0, controlPort: Int = 0, historyLimit: Int = DEFAULT_HISTORY_LIMIT) : AutoCloseable {
    private val contents = StoreContents(historyLimit) { announce() }
    private val watches = mutableSetOf<Watch>()
    private val calls = mutableMapOf<String, Int>()
    private var fault = StoreFault(StoreFault.Mode.UP)
    private val server = StandInServer(port, controlPort) { handle(it) }

    /** The port of the store. */
    val port: Int get() = server.port

    /** The port that stays reachable while the store is down. */
    val controlPort: Int get() = server.controlPort

    init {
        expireLeases()
    }

    override fun close() = server.close()

    private fun expireLeases() {
        contents.expire(System.nanoTime())
        server.schedule(LEASE_CHECK_INTERVAL) { expireLeases() }
    }

    private fun handle(exchange: StandInExchange) = when (exchange.path) {
        "/fault" -> setFault(exchange)
        "/calls" -> exchange.answer(calls)
        else -> call(exchange)
    }

    private fun setFault(exchange: StandInExchange) {
        fault = testkitJson.decodeFromString(exchange.body)
        exchange.answer(fault)
        if (fault.mode == StoreFault.Mode.DOWN) server.stopListening() else server.startListening()
    }

    private fun call(exchange: StandInExchange) {
        calls.merge(exchange.path.removePrefix("/v3/"), 1, Int::plus)
        val delay = fault.delayMilliseconds.milliseconds
        when (fault.mode) {
            StoreFault.Mode.UP -> execute(exchange) { exchange.answerReply(it) }

            StoreFault.Mode.DOWN -> exchange.drop()

            StoreFault.Mode.SLOW -> server.schedule(delay / 2) {
                execute(exchange) { reply -> server.schedule(delay / 2) { exchange.answerReply(reply) } }
            }

            StoreFault.Mode.LOSE_ANSWERS -> execute(exchange) { exchange.drop() }
        }
    }

    private fun execute(exchange: StandInExchange, onReply: (Reply) -> Unit) {
        val request = testkitJson.parseToJsonElement(exchange.body).jsonObject
        contents.expire(System.nanoTime())
        when (exchange.path) {
            "/v3/kv/range" -> onReply(Reply(range(request)))
            "/v3/kv/txn" -> onReply(transaction(request))
            "/v3/lease/grant" -> onReply(Reply(grant(request)))
            "/v3/lease/keepalive" -> onReply(Reply(renew(request)))
            "/v3/lease/revoke", "/v3/kv/lease/revoke" -> onReply(revoke(request))
            "/v3/watch" -> watch(exchange, request.getValue("create_request").jsonObject)
            else -> onReply(Reply(errorBody("Not Found", NOT_FOUND), HTTP_NOT_FOUND))
        }
    }

    private fun range(request: JsonObject): JsonObject {
        val found = contents.range(request.bytes("key"), request.bytesOrNull("range_end"))
        val limit = request.long("limit").takeIf { it > 0 } ?: Long.MAX_VALUE
        return withHeader {
            put("kvs", JsonArray(found.take(limit.coerceAtMost(found.size.toLong()).toInt()).map { entryBody(it) }))
            if (limit < found.size) put("more", true)
            put("count", found.size.toString())
        }
    }

    private fun transaction(request: JsonObject): Reply {
        val succeeded = request.list("compare").all { holds(it) }
        val operations = request.list(if (succeeded) "success" else "failure")
        val puts = operations.mapNotNull { it["request_put"]?.jsonObject }.map { putOf(it) }
        val deletions = operations
            .mapNotNull { it["request_delete_range"]?.jsonObject }
            .flatMap { contents.range(it.bytes("key"), it.bytesOrNull("range_end")) }
            .map { it.key }
        return when {
            puts.any { decodedBytes(it.value) > VALUE_LIMIT_BYTES } -> TOO_LARGE

            puts.any { it.lease != 0L && !contents.isHeld(it.lease) } -> NO_LEASE

            else -> {
                contents.write(puts, deletions)
                Reply(transactionBody(succeeded, operations))
            }
        }
    }

    private fun holds(comparison: JsonObject): Boolean {
        val entry = contents.entry(comparison.bytes("key"))
        return when (val target = comparison.text("target")) {
            "CREATE" -> (entry?.createRevision ?: 0) == comparison.long("create_revision")
            "MOD" -> (entry?.modifyRevision ?: 0) == comparison.long("mod_revision")
            else -> error("Comparison target $target is not supported.")
        }
    }

    private fun putOf(request: JsonObject): StorePut =
        StorePut(request.bytes("key"), request.text("value").orEmpty(), request.long("lease"))

    private fun transactionBody(succeeded: Boolean, operations: List<JsonObject>): JsonObject = withHeader {
        if (succeeded) put("succeeded", true)
        putJsonArray("responses") { operations.forEach { add(operationBody(it)) } }
    }

    private fun operationBody(operation: JsonObject): JsonObject = buildJsonObject {
        operation["request_range"]?.let { put("response_range", range(it.jsonObject)) }
        operation["request_put"]?.let { put("response_put", withHeader {}) }
        operation["request_delete_range"]?.let { put("response_delete_range", withHeader {}) }
    }

    private fun grant(request: JsonObject): JsonObject {
        val seconds = request.long("TTL").coerceAtLeast(1)
        return leaseBody(contents.grant(seconds, System.nanoTime()), seconds)
    }

    private fun renew(request: JsonObject): JsonObject = buildJsonObject {
        val lease = request.long("ID")
        put("result", leaseBody(lease, contents.renew(lease, System.nanoTime())))
    }

    private fun revoke(request: JsonObject): Reply =
        if (contents.revoke(request.long("ID"))) Reply(withHeader {}) else NO_LEASE

    private fun watch(exchange: StandInExchange, request: JsonObject) {
        val firstRevision = request.long("start_revision").takeIf { it > 0 } ?: (contents.revision + 1)
        val watch = Watch(exchange, request.bytes("key"), request.bytesOrNull("range_end"), firstRevision)
        exchange.beginStream("application/json")
        if (firstRevision <= contents.compactRevision) {
            exchange.writeChunk(cancellation().toString() + "\n")
            exchange.endStream()
            return
        }
        exchange.writeChunk(watchBody { put("created", true) })
        send(watch)
        watches += watch
        exchange.onClosed { watches -= watch }
    }

    private fun cancellation(): JsonObject = buildJsonObject {
        put(
            "result",
            withHeader {
                put("canceled", true)
                put("compact_revision", contents.compactRevision.toString())
            },
        )
    }

    private fun announce() = watches.toList().forEach { watch ->
        when (fault.mode) {
            StoreFault.Mode.SLOW -> server.schedule(fault.delayMilliseconds.milliseconds) { send(watch) }
            StoreFault.Mode.LOSE_ANSWERS -> watch.exchange.drop()
            StoreFault.Mode.UP, StoreFault.Mode.DOWN -> send(watch)
        }
    }

    // Sends all that the watch has not seen, so that no change overtakes an earlier one.
    private fun send(watch: Watch) {
        val changes = contents.changes(watch.key, watch.end, watch.nextRevision)
        watch.nextRevision = maxOf(watch.nextRevision, contents.revision + 1)
        if (changes.isEmpty()) return
        watch.exchange.writeChunk(watchBody { putJsonArray("events") { changes.forEach { add(changeBody(it)) } } })
    }

    private fun watchBody(fill: JsonObjectBuilder.() -> Unit): String =
        buildJsonObject { put("result", withHeader(fill)) }.toString() + "\n"

    private fun changeBody(change: StoreChange): JsonObject = buildJsonObject {
        if (change.after == null) put("type", "DELETE")
        put("kv", change.after?.let { entryBody(it) } ?: deletionBody(change))
    }

    private fun deletionBody(change: StoreChange): JsonObject = buildJsonObject {
        put("key", encode(change.key))
        put("mod_revision", change.revision.toString())
    }

    private fun entryBody(entry: StoreEntry): JsonObject = buildJsonObject {
        put("key", encode(entry.key))
        put("create_revision", entry.createRevision.toString())
        put("mod_revision", entry.modifyRevision.toString())
        put("version", entry.version.toString())
        put("value", entry.value)
        if (entry.lease != 0L) put("lease", entry.lease.toString())
    }

    private fun leaseBody(lease: Long, seconds: Long?): JsonObject = withHeader {
        put("ID", lease.toString())
        if (seconds != null) put("TTL", seconds.toString())
    }

    private fun withHeader(fill: JsonObjectBuilder.() -> Unit): JsonObject = buildJsonObject {
        putJsonObject("header") { put("revision", contents.revision.toString()) }
        fill()
    }

    private fun StandInExchange.answerReply(reply: Reply) = answerText(reply.body.toString(), reply.status)

    private data class Reply(val body: JsonObject, val status: Int = 200)

    private class Watch(val exchange: StandInExchange, val key: String, val end: String?, var nextRevision: Long)

    private companion object {
        const val DEFAULT_HISTORY_LIMIT = 10_000
        const val VALUE_LIMIT_BYTES = 1024 * 1024
        const val INVALID_ARGUMENT = 3
        const val NOT_FOUND = 5
        const val HTTP_BAD_REQUEST = 400
        const val HTTP_NOT_FOUND = 404
        val LEASE_CHECK_INTERVAL = 20.milliseconds
        val TOO_LARGE = Reply(errorBody("etcdserver: request is too large", INVALID_ARGUMENT), HTTP_BAD_REQUEST)
        val NO_LEASE = Reply(errorBody("etcdserver: requested lease not found", NOT_FOUND), HTTP_NOT_FOUND)

        fun errorBody(message: String, code: Int): JsonObject = buildJsonObject {
            put("error", message)
            put("code", code)
            put("message", message)
        }

        fun decodedBytes(base64: String): Int = base64.length * 3 / 4 - base64.takeLast(2).count { it == '=' }

        fun encode(key: String): String = Base64.getEncoder().encodeToString(key.toByteArray(Charsets.ISO_8859_1))

        fun JsonObject.text(name: String): String? = get(name)?.jsonPrimitive?.contentOrNull

        fun JsonObject.long(name: String): Long = text(name)?.toLong() ?: 0

        fun JsonObject.bytes(name: String): String = bytesOrNull(name).orEmpty()

        fun JsonObject.bytesOrNull(name: String): String? =
            text(name)?.let { String(Base64.getDecoder().decode(it), Charsets.ISO_8859_1) }

        fun JsonObject.list(name: String): List<JsonObject> = get(name)?.jsonArray.orEmpty().map { it.jsonObject }
    }
}
