package org.cicadaarch.experiment.demonstration

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.configuration.FleetDocumentWriter
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.store.ExpectedState
import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreResult
import org.cicadaarch.store.EtcdStore

/**
 * Writes the fleet document to the store by compare-and-swap, as an operator would.
 */
internal class FleetEditor(storeAddress: String) : AutoCloseable {
    private val eventLoops = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val store = EtcdStore(
        eventLoops,
        InetSocketAddress(storeAddress.substringBefore(':'), storeAddress.substringAfter(':').toInt()),
        TIMEOUT_SECONDS.seconds,
    )
    private var expected: ExpectedState = ExpectedState.Absent

    /** Writes [fleet]; fails when another operator wrote in between. */
    fun write(fleet: FleetDocument) {
        val command = StoreCommand.CompareAndSet(KEY, expected, FleetDocumentWriter.write(fleet))
        val answer = CompletableFuture<StoreResult>()
        store.execute(command, answer::complete)
        val result = answer.get(TIMEOUT_SECONDS * 2, TimeUnit.SECONDS)
        check(result is StoreResult.Written) { "the store did not write the document: $result" }
        expected = ExpectedState.AtVersion(result.version)
    }

    override fun close() {
        store.close()
        eventLoops.shutdownGracefully()
    }

    private companion object {
        const val KEY = "cicadaarch/fleet"
        const val TIMEOUT_SECONDS = 5L
    }
}
