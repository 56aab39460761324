package org.cicadaarch.router.peer

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readFully
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import org.cicadaarch.core.PeerMessage
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId
import org.cicadaarch.protocol.PeerCodec
import org.cicadaarch.router.runtime.MonotonicClock

/**
 * The outgoing connection to one router. It ends when the connection fails, when it was not used for [IDLE_LIMIT], or
 * when the other end does not echo a heartbeat in time although messages were sent;
 * [onClosed] hears whether it failed.
 */
internal class PeerLink(
    private val self: RouterId,
    private val address: RouterAddress,
    private val selector: SelectorManager,
    scope: CoroutineScope,
    private val observer: PeerObserver,
    private val onClosed: (Boolean) -> Unit,
) {
    private val outgoing = Channel<PeerMessage>(QUEUE_CAPACITY)
    private val lastSent = AtomicLong(MonotonicClock.now().milliseconds)
    private val lastEcho = AtomicLong(MonotonicClock.now().milliseconds)

    @Volatile
    private var idle = false

    init {
        scope.launch { run() }
    }

    fun send(message: PeerMessage) {
        if (outgoing.trySend(message).isFailure) observer.onDropped(message)
    }

    private suspend fun run() {
        try {
            val target = InetSocketAddress(address.host, address.port)
            val socket = withTimeout(CONNECT_TIMEOUT) { aSocket(selector).tcp().connect(target) { noDelay = true } }
            socket.use { carry(it) }
        } catch (exception: CancellationException) {
            LogEvents.info("peer-link-closed") {
                "peer" to address
                "cause" to exception.message
            }
        } catch (exception: Exception) {
            LogEvents.info("peer-link-closed") {
                "peer" to address
                "cause" to exception.message
            }
        } finally {
            onClosed(!idle)
            outgoing.close()
            while (true) observer.onDropped(outgoing.tryReceive().getOrNull() ?: break)
        }
    }

    private suspend fun carry(socket: Socket) = coroutineScope {
        val output = socket.openWriteChannel(autoFlush = false)
        val input = socket.openReadChannel()
        write(output, PeerMessage.Hello(self))
        output.flush()
        launch {
            while (true) {
                input.readFully(ByteArray(input.readInt()))
                lastEcho.set(MonotonicClock.now().milliseconds)
            }
        }
        launch { watch() }
        for (message in outgoing) {
            write(output, message)
            while (true) write(output, outgoing.tryReceive().getOrNull() ?: break)
            output.flush()
        }
    }

    private suspend fun watch() {
        var number = 0L
        var awaitedSince: Long? = null
        while (true) {
            delay(HEARTBEAT_INTERVAL)
            val now = MonotonicClock.now().milliseconds
            val awaited = awaitedSince
            if (awaited != null && lastEcho.get() >= awaited) awaitedSince = null
            if (awaited != null && lastEcho.get() < awaited && now - awaited > ECHO_TIMEOUT.inWholeMilliseconds) {
                error("no echo of a heartbeat within $ECHO_TIMEOUT")
            }
            if (now - lastSent.get() > IDLE_LIMIT.inWholeMilliseconds) {
                idle = true
                error("not used for $IDLE_LIMIT")
            }
            if (awaitedSince == null && lastSent.get() > lastEcho.get()) {
                awaitedSince = now
                number++
                outgoing.send(PeerMessage.Heartbeat(number))
            }
        }
    }

    private suspend fun write(output: ByteWriteChannel, message: PeerMessage) {
        val bytes = PeerCodec.encode(message)
        output.writeInt(bytes.size)
        output.writeFully(bytes)
        if (message !is PeerMessage.Heartbeat) lastSent.set(MonotonicClock.now().milliseconds)
        observer.onSent(message, bytes.size + PeerCodec.LENGTH_BYTES)
    }

    private companion object {
        const val QUEUE_CAPACITY = 4_096
        val CONNECT_TIMEOUT = 1.seconds
        val HEARTBEAT_INTERVAL = 500.milliseconds
        val ECHO_TIMEOUT = 2.seconds
        val IDLE_LIMIT = 60.seconds
    }
}
