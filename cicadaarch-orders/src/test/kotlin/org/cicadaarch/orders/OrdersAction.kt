package org.cicadaarch.orders

import kotlin.random.Random

/** One thing that a test does to an [OrdersFleet]; [name] shows it in a failure. */
internal class OrdersAction private constructor(val name: String, val applyTo: (OrdersFleet) -> Unit) {
    companion object {
        private val points = OrdersFleet.FreezePoint.entries

        fun random(random: Random): OrdersAction = when (random.nextInt(100)) {
            in 0 until 40 -> random.nextLong(1, 3_000).let { time ->
                OrdersAction("advance $time ms") { it.advance(time) }
            }

            in 40 until 60 -> random.nextInt(OrdersFleet.PRESETS.size).let { preset ->
                OrdersAction("switch to preset $preset") { it.switchPreset(preset) }
            }

            in 60 until 64 -> node(random).let { node -> OrdersAction("kill $node") { it.kill(node) } }

            in 64 until 69 -> freeze(node(random), random.nextLong(100, 15_000))

            in 69 until 74 -> freezeAtNextOrder(points.random(random), random.nextLong(1_000, 15_000))

            in 74 until 81 -> disagree(node(random), nodes(random))

            in 81 until 85 -> random.nextInt(OrdersFleet.ENGINES).let { engine ->
                OrdersAction("restart engine $engine") { it.restartEngine(engine) }
            }

            in 85 until 90 -> random.nextInt(90).let { percent ->
                OrdersAction("lose $percent % of answers") { it.loseAnswers(percent) }
            }

            in 90 until 95 -> FakeLeaseStore.Mode.entries.random(random).let { mode ->
                OrdersAction("store $mode") { it.store.mode = mode }
            }

            else -> OrdersAction("heal") { it.heal() }
        }

        private fun freeze(node: Int, milliseconds: Long) =
            OrdersAction("freeze $node for $milliseconds ms") { it.freeze(node, milliseconds) }

        private fun freezeAtNextOrder(point: OrdersFleet.FreezePoint, milliseconds: Long) =
            OrdersAction("freeze $point for $milliseconds ms") { it.freezeAtNextOrder(point, milliseconds) }

        private fun disagree(node: Int, known: Set<Int>) =
            OrdersAction("let $node know only $known") { it.disagree(node, known) }

        private fun node(random: Random): Int = random.nextInt(OrdersFleet.ROUTERS)

        private fun nodes(random: Random): Set<Int> =
            (0 until OrdersFleet.ROUTERS).filter { random.nextBoolean() }.toSet()
    }
}
