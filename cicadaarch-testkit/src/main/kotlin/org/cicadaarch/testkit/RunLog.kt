package org.cicadaarch.testkit

/**
 * The requests that a target ran, in the order of their start.
 */
internal class RunLog {
    private val list = mutableListOf<RunRecord>()

    /** All records. */
    val records: List<RunRecord> get() = list

    /** Records the start of [exchange]'s run and returns its number. */
    fun start(exchange: StandInExchange): Int {
        list += RunRecord(
            request = exchange.header("x-cicadaarch-request"),
            attempt = exchange.header("x-cicadaarch-attempt"),
            idempotencyKey = exchange.header("idempotency-key"),
            started = System.currentTimeMillis(),
        )
        return list.lastIndex
    }

    /** Records the end of run [number] after [tokens] tokens. */
    fun finish(number: Int, tokens: Int = 0, cancelled: Boolean = false) {
        list[number] =
            list[number].copy(finished = System.currentTimeMillis(), tokens = tokens, cancelled = cancelled)
    }
}
