package org.cicadaarch.testkit

import arrow.core.Either
import arrow.core.right
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.ZoneName
import org.cicadaarch.store.HttpVirtualMachineList
import org.cicadaarch.store.PlatformError
import org.cicadaarch.store.VirtualMachine
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

class VirtualMachineListStandInTest {
    private val eventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    @AfterTest
    fun close() {
        eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    @ParameterizedTest
    @MethodSource("cases")
    fun `Given a list, when it is fetched, then its entries or the error come back`(case: Case) {
        VirtualMachineListStandIn().use { standIn ->
            LoopbackHttp(standIn.port).send("PUT", "/vms", case.body)
            assertEquals(case.expected, fetch(standIn.port).mapLeft { it::class })
        }
    }

    @Test
    fun `Given a list that lags, when it is set, then it shows after the lag and not before`() {
        VirtualMachineListStandIn(lag = 1.hours).use { slow ->
            LoopbackHttp(slow.port).send("PUT", "/vms", ENTRIES)
            assertEquals(emptyList<VirtualMachine>().right(), fetch(slow.port))
        }
        VirtualMachineListStandIn(lag = 50.milliseconds).use { fast ->
            LoopbackHttp(fast.port).send("PUT", "/vms", ENTRIES)
            eventually({ fetch(fast.port) }) { it == machines.right() }
        }
    }

    @Test
    fun `Given a list that was closed, when it is fetched, then it is unreachable each time`() {
        repeat(40) {
            val port = VirtualMachineListStandIn().use { it.port }
            assertIs<PlatformError.Unreachable>(fetch(port).leftOrNull())
        }
    }

    data class Case(val body: String, val expected: Either<Any, List<VirtualMachine>>)

    private fun fetch(port: Int): Either<PlatformError, List<VirtualMachine>> {
        val result = CompletableFuture<Either<PlatformError, List<VirtualMachine>>>()
        HttpVirtualMachineList(eventLoopGroup, InetSocketAddress("127.0.0.1", port)).use { list ->
            list.fetch { result.complete(it) }
            return result.get(20, TimeUnit.SECONDS)
        }
    }

    companion object {
        private const val ENTRIES =
            """[{"address":"127.0.0.1:7001","zone":"west-a","state":"live"},""" +
                """{"address":"127.0.0.1:7002","zone":"west-b","state":"leaving"}]"""
        private val machines = listOf(
            VirtualMachine(RouterAddress("127.0.0.1", 7001), ZoneName("west-a"), leaving = false),
            VirtualMachine(RouterAddress("127.0.0.1", 7002), ZoneName("west-b"), leaving = true),
        )
        private val malformed = Either.Left(PlatformError.Malformed::class)

        @JvmStatic
        fun cases(): List<Case> = listOf(
            Case("[]", emptyList<VirtualMachine>().right()),
            Case(ENTRIES, machines.right()),
            Case("""[{"address":"127.0.0.1","zone":"west-a","state":"live"}]""", malformed),
            Case("""[{"address":"127.0.0.1:7001","zone":"west-a","state":"gone"}]""", malformed),
        )
    }
}
