package org.cicadaarch.testkit

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Runs requests in the slots of an engine: each reads its prompt when its turn comes and then writes its tokens.
 */
internal class EngineBatch(
    private val options: EngineOptions,
    private val cache: PrefixCache,
    private val control: TargetControl,
    private val schedule: (Duration, () -> Unit) -> Unit,
    private val onLoadChanged: () -> Unit,
) {
    private val waiting = ArrayDeque<EngineRun>()
    private val running = mutableSetOf<EngineRun>()
    private var prefillEnd = TimeSource.Monotonic.markNow()

    /** The load of this moment. */
    val load: EngineLoad
        get() = EngineLoad(running.size, waiting.size, cachedTokens = cache.tokens, slots = options.slots)

    /** Queues [run] for a slot; it is cancelled when its connection closes. */
    fun submit(run: EngineRun) {
        run.exchange.onClosed { cancel(run) }
        waiting += run
        fillSlots()
    }

    private fun fillSlots() {
        while (running.size < options.slots) start(waiting.removeFirstOrNull() ?: break)
        onLoadChanged()
    }

    private fun start(run: EngineRun) {
        running += run
        run.number = control.runs.start(run.exchange)
        run.cachedTokens = cache.cachedTokens(run.prefixes)
        val duration = control.slowed((run.prefillTokens.toDouble() / options.prefillTokensPerSecond).seconds)
        val start = maxOf(prefillEnd, TimeSource.Monotonic.markNow())
        prefillEnd = start + duration
        schedule(-prefillEnd.elapsedNow()) { startDecoding(run) }
    }

    private fun startDecoding(run: EngineRun) {
        if (run.isOver) return
        cache.store(run.prefixes)
        decode(run)
    }

    private fun decode(run: EngineRun) {
        if (run.isOver) return
        if (run.nextToken >= run.lastToken) return finish(run)
        run.writer.token(AnswerText.token(run.bodyHash, run.nextToken))
        run.nextToken++
        schedule(control.slowed(options.decodeInterval)) { decode(run) }
    }

    private fun finish(run: EngineRun) {
        cache.store(run.prefixesWithAnswer())
        end(run, cancelled = false)
        run.writer.finish(ChatUsage.of(run.promptTokens, run.cachedTokens, completion = run.lastToken))
    }

    private fun cancel(run: EngineRun) {
        if (!run.isOver) end(run, cancelled = true)
    }

    private fun end(run: EngineRun, cancelled: Boolean) {
        run.isOver = true
        waiting -= run
        running -= run
        run.number?.let { control.runs.finish(it, tokens = run.nextToken - run.firstToken, cancelled = cancelled) }
        fillSlots()
    }
}
