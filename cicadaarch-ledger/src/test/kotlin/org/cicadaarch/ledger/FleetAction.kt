package org.cicadaarch.ledger

import kotlin.random.Random
import org.cicadaarch.model.Outcome

/** One action of a test on a [LedgerTestFleet]; [name] describes it in failure reports. */
internal class FleetAction private constructor(val name: String, val applyTo: (LedgerTestFleet) -> Unit) {
    companion object {
        private val ends = listOf(Outcome.COMPLETED, Outcome.MAY_HAVE_RUN)

        fun random(random: Random): FleetAction = when (random.nextInt(100)) {
            in 0 until 34 -> submit(random.nextInt(LedgerTestFleet.KEYS), node(random), random.nextLong(100, 5_000))

            in 34 until 44 -> endRun(random.nextInt(100), ends.random(random))

            in 44 until 66 -> advance(random.nextLong(1, 1_500))

            in 66 until 68 -> advance(random.nextLong(20_000, 60_000))

            in 68 until 71 -> node(random).let { node -> FleetAction("kill $node") { it.kill(node) } }

            in 71 until 76 -> pause(node(random), random.nextLong(100, 8_000))

            in 76 until 80 -> partition(node(random), node(random), random.nextLong(100, 5_000))

            in 80 until 83 -> random.nextInt(60).let { percent ->
                FleetAction("lose $percent %") { it.loseMessages(percent) }
            }

            in 83 until 89 -> limitView(node(random), (0 until 4).filter { random.nextBoolean() }.toSet())

            in 89 until 97 -> FakeStore.Mode.entries.random(random).let { mode ->
                FleetAction("store $mode") { it.store.mode = mode }
            }

            else -> FleetAction("heal") { it.heal() }
        }

        private fun submit(key: Int, node: Int, timeAllowed: Long) =
            FleetAction("submit key $key at $node for $timeAllowed ms") { it.submit(key, node, timeAllowed) }

        private fun endRun(number: Int, outcome: Outcome) =
            FleetAction("end run $number as $outcome") { it.endRun(number, outcome) }

        private fun advance(milliseconds: Long) = FleetAction("advance $milliseconds ms") { it.advance(milliseconds) }

        private fun pause(node: Int, milliseconds: Long) =
            FleetAction("pause $node for $milliseconds ms") { it.pause(node, milliseconds) }

        private fun partition(one: Int, other: Int, milliseconds: Long) =
            FleetAction("partition $one from $other for $milliseconds ms") { it.partition(one, other, milliseconds) }

        private fun limitView(node: Int, visible: Set<Int>) =
            FleetAction("limit view of $node to $visible") { it.limitView(node, visible) }

        private fun node(random: Random): Int = random.nextInt(LedgerTestFleet.ROUTERS)
    }
}
