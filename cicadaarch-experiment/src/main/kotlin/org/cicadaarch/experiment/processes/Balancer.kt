package org.cicadaarch.experiment.processes

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import org.cicadaarch.experiment.demonstration.ControlClient

/**
 * Stands in for the platform's balancer: asks each router whether it is ready and sends callers only to those that are.
 */
internal class Balancer(private val routers: RouterProcesses) : AutoCloseable {
    private val control = ControlClient()
    private val timer = Executors.newScheduledThreadPool(routers.numbers.count()) {
        Thread(it).apply { isDaemon = true }
    }
    private val ready = ConcurrentHashMap.newKeySet<Int>()

    /** Starts to ask. */
    fun start() = routers.numbers.forEach { number ->
        timer.scheduleWithFixedDelay({ ask(number) }, 0, INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    /** The number of a ready router by chance, or of any when none is ready. */
    fun choose(random: Random): Int = ready.toList().ifEmpty { routers.numbers.toList() }.random(random)

    override fun close() {
        timer.shutdownNow()
    }

    private fun ask(number: Int) {
        if (control.isReady(routers.operatorsAddress(number))) ready += number else ready -= number
    }

    private companion object {
        const val INTERVAL_MILLISECONDS = 100L
    }
}
