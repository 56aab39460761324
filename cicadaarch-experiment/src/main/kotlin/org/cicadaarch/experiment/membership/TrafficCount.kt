package org.cicadaarch.experiment.membership

/**
 * Datagrams and bytes sent, ticks run and the processor time that the nodes took, since it was last reset.
 */
class TrafficCount {
    var messages: Long = 0
        private set
    var bytes: Long = 0
        private set
    var greatest: Int = 0
        private set
    var listReads: Long = 0
        private set
    var ticks: Long = 0
        private set
    var nanoseconds: Long = 0
        private set

    /** Counts one datagram of [size] bytes. */
    fun sent(size: Int) {
        messages++
        bytes += size
        greatest = maxOf(greatest, size)
    }

    /** Counts one reading of the platform's list. */
    fun listRead() {
        listReads++
    }

    /** Counts one tick. */
    fun ticked() {
        ticks++
    }

    /** Counts processor time. */
    fun worked(time: Long) {
        nanoseconds += time
    }

    /** Starts anew. */
    fun reset() {
        messages = 0
        bytes = 0
        greatest = 0
        listReads = 0
        ticks = 0
        nanoseconds = 0
    }
}
