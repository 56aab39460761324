package org.cicadaarch.forwarding.simulation

import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource

/** Guards against targets over their bound in large fleets, when prompts get hot of which each router sees little. */
internal class HotPromptsTest {
    @ParameterizedTest
    @EnumSource
    fun `Given a large fleet under load, when a prompt gets hot, then few requests reach a target over the bound`(
        fleet: Fleet,
    ) {
        for (seed in SEEDS) {
            val simulation = LoadSimulation(
                routers = fleet.routers,
                targets = fleet.targets,
                requestsPerSecond = fleet.requestsPerSecond,
                seed = seed,
                kinds = fleet.kinds,
                slots = fleet.slots,
            )
            simulation.hotPrompt(start = 5.seconds, duration = 6.seconds, share = fleet.hotShare)
            val window = simulation.run(14.seconds)
            val isAllowed = window.over < MIN_OVER || window.share <= MAX_SHARE
            assertTrue(isAllowed, "seed $seed: ${window.over} of ${window.requests} requests, ${window.share}")
        }
    }

    internal enum class Fleet(
        val routers: Int,
        val targets: Int,
        val requestsPerSecond: Double,
        val kinds: List<LoadKind>,
        val slots: Int,
        val hotShare: Double,
    ) {
        EVEN_LOAD(90, targets = 140, requestsPerSecond = 957.0, LoadKind.GUILD, slots = 12, hotShare = 0.0),
        WARM_PROMPT(90, targets = 140, requestsPerSecond = 957.0, LoadKind.GUILD, slots = 12, hotShare = 0.02),
        HOT_PROMPT(90, targets = 140, requestsPerSecond = 957.0, LoadKind.GUILD, slots = 12, hotShare = 0.08),
        FEW_TARGETS(95, targets = 53, requestsPerSecond = 430.0, LoadKind.DESK, slots = 32, hotShare = 0.08),
        FEW_ROUTERS(8, targets = 140, requestsPerSecond = 957.0, LoadKind.GUILD, slots = 12, hotShare = 0.08),
    }

    private companion object {
        val SEEDS = 1L..2L

        /** The users' rule: in five seconds, not both this many requests and this share of them. */
        const val MIN_OVER = 20
        const val MAX_SHARE = 0.03
    }
}
