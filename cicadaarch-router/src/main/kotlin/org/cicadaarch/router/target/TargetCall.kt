package org.cicadaarch.router.target

import io.netty.channel.Channel

/**
 * A request that is running on a target.
 */
class TargetCall internal constructor() {
    private var channel: Channel? = null
    private var reading = true

    internal var cancelled: Boolean = false
        private set

    internal fun attach(channel: Channel) {
        this.channel = channel
        channel.config().isAutoRead = reading
    }

    internal fun detach() {
        channel?.config()?.isAutoRead = true
        channel = null
    }

    /** Stops or goes on reading the answer, as the caller can take it. */
    fun setReading(reading: Boolean) {
        this.reading = reading
        channel?.config()?.isAutoRead = reading
    }

    /** Closes the connection, which tells the target to stop; the listener hears nothing more. */
    fun cancel() {
        cancelled = true
        channel?.close()
    }
}
