package org.cicadaarch.forwarding.simulation

import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.Timestamp

/** The requests that arrived at targets, and whether each target held more than its bound. */
internal class LoadRecord {
    private val arrivals = mutableListOf<Arrival>()

    fun add(at: Timestamp, isOverBound: Boolean) {
        arrivals += Arrival(at, isOverBound)
    }

    /** The worst window of five seconds: the one with the largest share of requests over the bound. */
    fun worstWindow(): Window {
        var first = 0
        var over = 0
        var worst = Window(over = 0, requests = 0)
        arrivals.forEachIndexed { index, arrival ->
            if (arrival.isOverBound) over += 1
            while (arrival.at - arrivals[first].at > WINDOW) {
                if (arrivals[first].isOverBound) over -= 1
                first += 1
            }
            val isFull = arrival.at - arrivals.first().at >= WINDOW
            val window = Window(over, requests = index - first + 1)
            if (isFull && window.share > worst.share) worst = window
        }
        return worst
    }

    /** [over] of [requests] reached a target that held more than its bound. */
    data class Window(val over: Int, val requests: Int) {
        val share: Double get() = if (requests == 0) 0.0 else over.toDouble() / requests
    }

    private class Arrival(val at: Timestamp, val isOverBound: Boolean)

    private companion object {
        val WINDOW = 5.seconds
    }
}
