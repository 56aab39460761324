package org.cicadaarch.forwarding.simulation

import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.EdgeCasesMode
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.ShrinkingMode

/** Guards against targets over their bound in fleets whose sizes no test has. */
internal class LoadBoundProperty {
    @Property(tries = 6, seed = "37", shrinking = ShrinkingMode.OFF, edgeCases = EdgeCasesMode.NONE)
    fun `Given any fleet, when a prompt gets hot and targets join, then few requests reach a target over the bound`(
        @ForAll("fleets") fleet: Fleet,
    ) {
        val simulation = LoadSimulation(
            routers = fleet.routers,
            targets = fleet.targets,
            requestsPerSecond = fleet.targets * fleet.requestsPerTarget,
            seed = fleet.seed,
            kinds = fleet.kinds,
            slots = SLOTS,
        )
        simulation.hotPrompt(start = 4.seconds, duration = 5.seconds, share = fleet.hotShare)
        if (fleet.joining > 0) simulation.join(start = 9.seconds, count = fleet.joining)
        val window = simulation.run(12.seconds)
        val isAllowed = window.over < MIN_OVER || window.share <= MAX_SHARE

        assertTrue(isAllowed, "$fleet: ${window.over} of ${window.requests} requests, ${window.share}")
    }

    @Provide
    fun fleets(): Arbitrary<Fleet> = Combinators.combine(
        Arbitraries.integers().between(2, 96),
        Arbitraries.integers().between(12, 140),
        Arbitraries.doubles().between(4.0, 8.5),
        Arbitraries.doubles().between(0.0, 0.08),
        Arbitraries.integers().between(0, 30),
        Arbitraries.of(LoadKind.GUILD, LoadKind.DESK),
        Arbitraries.longs().between(1, 1_000),
    ).`as`(::Fleet)

    /** A fleet whose targets get [requestsPerTarget] a second each, of which [joining] come later. */
    internal data class Fleet(
        val routers: Int,
        val targets: Int,
        val requestsPerTarget: Double,
        val hotShare: Double,
        val joining: Int,
        val kinds: List<LoadKind>,
        val seed: Long,
    )

    private companion object {
        const val SLOTS = 32

        /** The users' rule: in five seconds, not both this many requests and this share of them. */
        const val MIN_OVER = 20
        const val MAX_SHARE = 0.03
    }
}
