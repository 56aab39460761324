package org.cicadaarch.ledger

import kotlin.random.Random
import org.cicadaarch.model.Outcome

/** One thing that a test does to a [LedgerFleet]. */
internal sealed class FleetAction {
    abstract fun applyTo(fleet: LedgerFleet)

    data class Submit(val key: Int, val node: Int, val timeAllowed: Long) : FleetAction() {
        override fun applyTo(fleet: LedgerFleet) {
            fleet.submit(key, node, timeAllowed)
        }
    }

    data class EndRun(val number: Int, val outcome: Outcome) : FleetAction() {
        override fun applyTo(fleet: LedgerFleet) = fleet.endRun(number, outcome)
    }

    data class Advance(val milliseconds: Long) : FleetAction() {
        override fun applyTo(fleet: LedgerFleet) = fleet.advance(milliseconds)
    }

    data class Kill(val node: Int) : FleetAction() {
        override fun applyTo(fleet: LedgerFleet) = fleet.kill(node)
    }

    data class Freeze(val node: Int, val milliseconds: Long) : FleetAction() {
        override fun applyTo(fleet: LedgerFleet) = fleet.freeze(node, milliseconds)
    }

    data class Cut(val one: Int, val other: Int, val milliseconds: Long) : FleetAction() {
        override fun applyTo(fleet: LedgerFleet) = fleet.cut(one, other, milliseconds)
    }

    data class LoseMessages(val percent: Int) : FleetAction() {
        override fun applyTo(fleet: LedgerFleet) = fleet.loseMessages(percent)
    }

    data class Disagree(val node: Int, val known: Set<Int>) : FleetAction() {
        override fun applyTo(fleet: LedgerFleet) = fleet.disagree(node, known)
    }

    data class SetStore(val mode: FakeStore.Mode) : FleetAction() {
        override fun applyTo(fleet: LedgerFleet) {
            fleet.store.mode = mode
        }
    }

    data object Heal : FleetAction() {
        override fun applyTo(fleet: LedgerFleet) = fleet.heal()
    }

    companion object {
        private val ends = listOf(Outcome.COMPLETED, Outcome.MAY_HAVE_RUN)

        fun random(random: Random): FleetAction = when (random.nextInt(100)) {
            in 0 until 34 -> Submit(random.nextInt(LedgerFleet.KEYS), node(random), random.nextLong(100, 5_000))
            in 34 until 44 -> EndRun(random.nextInt(100), ends.random(random))
            in 44 until 66 -> Advance(random.nextLong(1, 1_500))
            in 66 until 68 -> Advance(random.nextLong(20_000, 60_000))
            in 68 until 71 -> Kill(node(random))
            in 71 until 76 -> Freeze(node(random), random.nextLong(100, 8_000))
            in 76 until 80 -> Cut(node(random), node(random), random.nextLong(100, 5_000))
            in 80 until 83 -> LoseMessages(random.nextInt(60))
            in 83 until 89 -> Disagree(node(random), (0 until 4).filter { random.nextBoolean() }.toSet())
            in 89 until 97 -> SetStore(FakeStore.Mode.entries.random(random))
            else -> Heal
        }

        private fun node(random: Random): Int = random.nextInt(LedgerFleet.ROUTERS)
    }
}
