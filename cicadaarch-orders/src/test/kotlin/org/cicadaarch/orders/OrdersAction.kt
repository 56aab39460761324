package org.cicadaarch.orders

import kotlin.random.Random

/** One step of a fuzz test on an [OrdersTestFleet]; [name] identifies it in the failure report. */
internal class OrdersAction private constructor(val name: String, val applyTo: (OrdersTestFleet) -> Unit) {
    companion object {
        private val points = OrdersTestFleet.PausePoint.entries

        fun random(random: Random): OrdersAction = when (random.nextInt(100)) {
            in 0 until 40 -> random.nextLong(1, 3_000).let { time ->
                OrdersAction("advance $time ms") { it.advance(time) }
            }

            in 40 until 60 -> random.nextInt(OrdersTestFleet.PRESETS.size).let { preset ->
                OrdersAction("switch to preset $preset") { it.switchPreset(preset) }
            }

            in 60 until 64 -> node(random).let { node -> OrdersAction("kill router $node") { it.kill(node) } }

            in 64 until 69 -> pause(node(random), random.nextLong(100, 15_000))

            in 69 until 74 -> pauseAtNextOrder(points.random(random), random.nextLong(1_000, 15_000))

            in 74 until 81 -> limitView(node(random), nodes(random))

            in 81 until 85 -> random.nextInt(OrdersTestFleet.ENGINES).let { engine ->
                OrdersAction("restart engine $engine") { it.restartEngine(engine) }
            }

            in 85 until 90 -> random.nextInt(90).let { percent ->
                OrdersAction("lose $percent % of responses") { it.loseResponses(percent) }
            }

            in 90 until 95 -> FakeLeaseStore.Mode.entries.random(random).let { mode ->
                OrdersAction("set the store to $mode") { it.store.mode = mode }
            }

            else -> OrdersAction("end all faults") { it.endFaults() }
        }

        private fun pause(node: Int, milliseconds: Long) =
            OrdersAction("pause router $node for $milliseconds ms") { it.pause(node, milliseconds) }

        private fun pauseAtNextOrder(point: OrdersTestFleet.PausePoint, milliseconds: Long) =
            OrdersAction("pause the next sender $point for $milliseconds ms") {
                it.pauseAtNextOrder(point, milliseconds)
            }

        private fun limitView(node: Int, known: Set<Int>) =
            OrdersAction("limit the view of router $node to $known") { it.limitView(node, known) }

        private fun node(random: Random): Int = random.nextInt(OrdersTestFleet.ROUTERS)

        private fun nodes(random: Random): Set<Int> =
            (0 until OrdersTestFleet.ROUTERS).filter { random.nextBoolean() }.toSet()
    }
}
