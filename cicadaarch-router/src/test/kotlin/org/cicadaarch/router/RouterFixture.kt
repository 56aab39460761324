package org.cicadaarch.router

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.InetSocketAddress
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.configuration.CredentialHasher
import org.cicadaarch.configuration.FleetDocumentWriter
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.PresetName
import org.cicadaarch.model.RegionName
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.ZoneName
import org.cicadaarch.model.fleet.Account
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.fleet.Preset
import org.cicadaarch.model.fleet.Service
import org.cicadaarch.model.fleet.ServiceKind
import org.cicadaarch.model.fleet.Target
import org.cicadaarch.model.store.ExpectedState
import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreResult
import org.cicadaarch.router.settings.RouterSettings
import org.cicadaarch.store.EtcdStore
import org.cicadaarch.testkit.EngineOptions
import org.cicadaarch.testkit.EngineStandIn
import org.cicadaarch.testkit.PlainServiceStandIn
import org.cicadaarch.testkit.StoreStandIn
import org.cicadaarch.testkit.VirtualMachineListStandIn
import org.slf4j.LoggerFactory

/**
 * A router in this process on free loopback ports, ready for callers, with stand-ins of all that it talks to.
 */
class RouterFixture(maximumConnections: Int = 100) : AutoCloseable {
    private val http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    private val store = StoreStandIn()
    private val virtualMachines = VirtualMachineListStandIn()
    private val engine = EngineStandIn(options = EngineOptions(decodeInterval = 20.microseconds))
    private val plainService = PlainServiceStandIn()
    private val relay = CountingRelay(engine.port)
    private val log = ListAppender<ILoggingEvent>()
    private val settings = RouterSettings(
        callerAddress = loopback(ANY_PORT),
        operatorsAddress = loopback(ANY_PORT),
        peerAddress = loopback(ANY_PORT),
        zone = ZONE,
        region = REGION,
        storeAddress = loopback(store.port),
        vmListAddress = loopback(virtualMachines.port),
        traceEndpoint = null,
        drainNotice = 50.milliseconds,
        drainTimeout = 5.seconds,
        maximumConnections = maximumConnections,
        maximumHeadBytes = 8_192,
        maximumBodyBytes = MAXIMUM_BODY_BYTES,
    )
    private val router = RouterProcess(settings)

    /** The port for other routers. */
    val peerPort: Int get() = router.peerAddress.port

    /** The bytes that the router has taken from the engine. */
    val bytesFromEngine: Long get() = relay.bytes

    /** The lines logged up to now. */
    val logLines: List<String> get() = synchronized(log) { log.list.toList() }.map { it.formattedMessage }

    init {
        rootLogger().addAppender(log.apply { start() })
        writeFleet()
        val entry = """[{"address":"${router.peerAddress}","zone":"$ZONE","state":"live"}]"""
        send(HttpRequest.newBuilder(uri(virtualMachines.port, "/vms")).PUT(HttpRequest.BodyPublishers.ofString(entry)))
        router.start()
        Conditions.await("the router is ready") { isReady() }
        Conditions.await("a request is answered") { connect().use { it.ask(GOOD_REQUEST).status } == 200 }
        Conditions.await("the fixture's own connection is closed") { NO_CONNECTION in metrics() }
    }

    /** A new connection of a caller. */
    fun connect(receiveBufferBytes: Int? = null): RawConnection =
        RawConnection(router.callerAddress.port, receiveBufferBytes)

    /** What the engine says that it ran, in JSON. */
    fun engineRuns(): String = send(HttpRequest.newBuilder(uri(engine.port, "/ran"))).body()

    /** The router's metrics as text. */
    fun metrics(): String = send(HttpRequest.newBuilder(uri(router.operatorsAddress.port, "/metrics"))).body()

    /** Whether the router calls itself ready. */
    fun isReady(): Boolean = send(HttpRequest.newBuilder(uri(router.operatorsAddress.port, "/ready")))
        .statusCode() == 200

    override fun close() {
        router.stop()
        listOf(relay, engine, plainService, virtualMachines, store).forEach(AutoCloseable::close)
        rootLogger().detachAppender(log)
    }

    private fun writeFleet() {
        val eventLoops = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val answer = CompletableFuture<StoreResult>()
        EtcdStore(eventLoops, InetSocketAddress(HOST, store.port), 5.seconds).use { client ->
            val document = FleetDocumentWriter.write(fleet())
            client.execute(StoreCommand.CompareAndSet(FLEET_KEY, ExpectedState.Absent, document), answer::complete)
            check(answer.get(30, TimeUnit.SECONDS) is StoreResult.Written)
        }
        eventLoops.shutdownGracefully()
    }

    private fun fleet(): FleetDocument = FleetDocument(
        regions = mapOf(REGION to listOf(ZONE)),
        accounts = mapOf(
            AccountId("desk") to Account(listOf(CredentialHasher.hash(SECRET, "salt".toByteArray(), iterations = 10))),
        ),
        services = mapOf(
            ServiceName("model") to Service(ServiceKind.MODEL, timeAllowed = 60.seconds),
            ServiceName("ledger") to Service(ServiceKind.PLAIN, timeAllowed = 60.seconds),
        ),
        targets = mapOf(
            TargetId("engine") to target("model", relay.port),
            TargetId("ledger") to target("ledger", plainService.port),
        ),
        presets = listOf("ordinary", "peak", "maintenance").associate { PresetName(it) to Preset() },
        activePreset = PresetName("ordinary"),
    )

    private fun target(service: String, port: Int): Target =
        Target(ServiceName(service), address = "$HOST:$port", zone = ZONE, capacity = 8)

    private fun send(request: HttpRequest.Builder): HttpResponse<String> =
        http.send(request.build(), HttpResponse.BodyHandlers.ofString())

    private fun uri(port: Int, path: String): URI = URI.create("http://$HOST:$port$path")

    companion object {
        private const val NO_CONNECTION = "cicadaarch_caller_connections 0.0"

        /** The secret of the fixture's account. */
        const val SECRET: String = "apricot-lantern-secret"

        /** The header that proves the account. */
        const val AUTHORIZATION: String = "authorization: Bearer desk:$SECRET"

        /** The longest request body that the router accepts. */
        const val MAXIMUM_BODY_BYTES: Int = 65_536

        private const val HOST = "127.0.0.1"

        /** The system picks the port. */
        private const val ANY_PORT = 0
        private const val FLEET_KEY = "cicadaarch/fleet"
        private val ZONE = ZoneName("zone")
        private val REGION = RegionName("region")
        private val GOOD_REQUEST = chat(chatBody("first", tokens = 3))

        /** The body of a chat completion. */
        fun chatBody(text: String, tokens: Int, stream: Boolean = false): String =
            """{"model":"model","messages":[{"role":"user","content":"$text"}],""" +
                """"max_tokens":$tokens,"stream":$stream}"""

        /** The request with [body] and [headers], proven by the fixture's account unless told otherwise. */
        fun chat(body: String, headers: List<String> = listOf(AUTHORIZATION)): String {
            val lines = listOf("POST /v1/chat/completions HTTP/1.1", "host: router") + headers
            return lines.joinToString("\r\n") + "\r\ncontent-length: ${body.toByteArray().size}\r\n\r\n$body"
        }

        private fun loopback(port: Int): RouterAddress = RouterAddress(HOST, port)

        private fun rootLogger(): Logger = LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME) as Logger
    }
}
