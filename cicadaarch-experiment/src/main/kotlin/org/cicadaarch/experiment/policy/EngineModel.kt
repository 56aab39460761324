package org.cicadaarch.experiment.policy

/**
 * A model engine: [EngineSetting.slots] requests decode at once, prompts are computed one after the other.
 */
internal class EngineModel(
    val name: String,
    private val setting: EngineSetting,
    private val clock: VirtualClock,
    private val listener: EngineListener,
) {
    private val cache = PrefixCache(setting.cacheTokens)
    private val waiting = ArrayDeque<Turn>()
    private val active = LinkedHashSet<Turn>()
    private var prefillFreeAt = 0L
    private var freeSince: Long? = 0L
    private var lastUsableFreeEnd = -1L
    private var incarnation = 0

    /** Whether the process runs. */
    var up = true
        private set

    var upSince = 0L
        private set
    var failures = 0
        private set

    /** Whether new work may be sent here; false from the start of a planned leave. */
    var open = true

    val slots: Int get() = setting.slots
    val running: Int get() = active.size
    val queued: Int get() = waiting.size
    val inFlight: Int get() = active.size + waiting.size
    var inFlightTokens = 0L
        private set

    fun submit(turn: Turn) {
        if (!up) {
            listener.crashed(listOf(turn), this)
            return
        }
        inFlightTokens += turn.tokens
        waiting += turn
        startWaiting()
    }

    /** Loses all work in flight and the cache. */
    fun crash() {
        val lost = active.toList() + waiting
        active.clear()
        waiting.clear()
        inFlightTokens = 0
        incarnation++
        failures++
        up = false
        noteOccupancy()
        listener.crashed(lost, this)
    }

    fun restart() {
        up = true
        prefillFreeAt = clock.now
        cache.clear()
        upSince = clock.now
        noteOccupancy()
    }

    /** Whether a slot stood free for [MINIMUM_FREE] or longer between [from] and now. */
    fun hadFreeSlotSince(from: Long): Boolean {
        val since = freeSince
        val freeNow = since != null && clock.now - maxOf(since, from) >= MINIMUM_FREE
        return open && up && (freeNow || lastUsableFreeEnd >= from + MINIMUM_FREE)
    }

    private fun startWaiting() {
        while (active.size < setting.slots && waiting.isNotEmpty()) start(waiting.removeFirst())
        noteOccupancy()
    }

    private fun start(turn: Turn) {
        active += turn
        val reused = minOf(cache.find(turn.chat), turn.prefixTokens)
        val uncached = turn.promptTokens - reused
        prefillFreeAt = maxOf(clock.now, prefillFreeAt) + uncached * MICROSECONDS_PER_SECOND / setting.prefillRate
        listener.started(turn, reused, this)
        at(prefillFreeAt) {
            cache.store(turn.chat, turn.promptTokens)
            listener.firstToken(turn, this)
        }
        at(prefillFreeAt + turn.outputTokens * setting.decodeInterval) { finish(turn) }
    }

    private fun at(time: Long, action: () -> Unit) {
        val scheduledIn = incarnation
        clock.schedule(time) { if (incarnation == scheduledIn) action() }
    }

    private fun finish(turn: Turn) {
        active -= turn
        inFlightTokens -= turn.tokens
        cache.store(turn.chat, turn.promptTokens + turn.outputTokens)
        startWaiting()
        listener.finished(turn, this)
    }

    private fun noteOccupancy() {
        val free = up && active.size < setting.slots
        val since = freeSince
        if (free && since == null) {
            freeSince = clock.now
        } else if (!free && since != null) {
            if (clock.now - since >= MINIMUM_FREE) lastUsableFreeEnd = clock.now
            freeSince = null
        }
    }

    private companion object {
        const val MINIMUM_FREE = 100 * MICROSECONDS_PER_MILLISECOND
    }
}
