package org.cicadaarch.experiment.policy

import java.util.SplittableRandom
import kotlin.math.ln

/**
 * Starts chats by Poisson arrivals and brings their later turns after exponential pauses, all from [seed].
 *
 * Arrivals, sizes and pauses depend on the seed alone, so that every policy sees the same chats.
 */
internal class ChatSource(
    private val scenario: Scenario,
    private val clock: VirtualClock,
    private val seed: Long,
    private val offer: (Turn) -> Unit,
) {
    private var nextChat = 0
    private var nextTurn = 0L

    fun start() = scenario.accounts.indices.forEach { account ->
        scheduleChat(account, SplittableRandom(seed * PRIME + account))
    }

    /** Brings the chat's next turn after a pause that begins now, when [turn] was answered. */
    fun answered(turn: Turn) {
        val random = SplittableRandom(seed * PRIME + turn.chat * PRIME + turn.number)
        if (random.nextDouble() >= 1.0 - 1.0 / scenario.chats.meanTurns) return
        clock.schedule(clock.now + exponential(random, scenario.chats.meanPause)) {
            offer(
                turn(
                    random = random,
                    account = turn.account,
                    chat = turn.chat,
                    number = turn.number + 1,
                    prefix = turn.promptTokens + turn.outputTokens,
                ),
            )
        }
    }

    private fun scheduleChat(account: Int, random: SplittableRandom) {
        val setting = scenario.accounts[account]
        val highest = setting.chatsPerSecond * maxOf(1.0, setting.surge)
        clock.schedule(clock.now + exponential(random, (MICROSECONDS_PER_SECOND / highest).toLong())) {
            val surging = clock.now in setting.surgeFrom until setting.surgeUntil
            val kept = surging || random.nextDouble() < 1.0 / maxOf(1.0, setting.surge)
            if (kept) offer(turn(random, account, chat = nextChat++, number = 1, prefix = 0))
            scheduleChat(account, random)
        }
    }

    private fun turn(random: SplittableRandom, account: Int, chat: Int, number: Int, prefix: Int): Turn {
        val mean = if (number == 1) scenario.chats.firstTokens else scenario.chats.addedTokens
        return Turn(
            id = nextTurn++,
            account = account,
            chat = chat,
            number = number,
            promptTokens = prefix + spread(random, mean),
            prefixTokens = prefix,
            outputTokens = spread(random, scenario.chats.outputTokens),
            arrivedAt = clock.now,
            router = random.nextInt(scenario.routers),
        )
    }

    private fun spread(random: SplittableRandom, mean: Int): Int = (mean * (0.4 + 1.2 * random.nextDouble())).toInt()

    private fun exponential(random: SplittableRandom, mean: Long): Long =
        (-ln(1.0 - random.nextDouble()) * mean).toLong()

    private companion object {
        const val PRIME = 1_000_003L
    }
}
