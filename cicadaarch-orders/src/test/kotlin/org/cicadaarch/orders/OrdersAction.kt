package org.cicadaarch.orders

import kotlin.random.Random

/** One thing that a test does to an [OrdersFleet]. */
internal sealed class OrdersAction {
    abstract fun applyTo(fleet: OrdersFleet)

    data class Advance(val milliseconds: Long) : OrdersAction() {
        override fun applyTo(fleet: OrdersFleet) = fleet.advance(milliseconds)
    }

    data class SwitchPreset(val number: Int) : OrdersAction() {
        override fun applyTo(fleet: OrdersFleet) = fleet.switchPreset(number)
    }

    data class Kill(val node: Int) : OrdersAction() {
        override fun applyTo(fleet: OrdersFleet) = fleet.kill(node)
    }

    data class Freeze(val node: Int, val milliseconds: Long) : OrdersAction() {
        override fun applyTo(fleet: OrdersFleet) = fleet.freeze(node, milliseconds)
    }

    data class FreezeAtNextOrder(val point: OrdersFleet.FreezePoint, val milliseconds: Long) : OrdersAction() {
        override fun applyTo(fleet: OrdersFleet) = fleet.freezeAtNextOrder(point, milliseconds)
    }

    data class Disagree(val node: Int, val known: Set<Int>) : OrdersAction() {
        override fun applyTo(fleet: OrdersFleet) = fleet.disagree(node, known)
    }

    data class RestartEngine(val number: Int) : OrdersAction() {
        override fun applyTo(fleet: OrdersFleet) = fleet.restartEngine(number)
    }

    data class LoseAnswers(val percent: Int) : OrdersAction() {
        override fun applyTo(fleet: OrdersFleet) = fleet.loseAnswers(percent)
    }

    data class SetStore(val mode: FakeLeaseStore.Mode) : OrdersAction() {
        override fun applyTo(fleet: OrdersFleet) {
            fleet.store.mode = mode
        }
    }

    data object Heal : OrdersAction() {
        override fun applyTo(fleet: OrdersFleet) = fleet.heal()
    }

    companion object {
        private val points = OrdersFleet.FreezePoint.entries

        fun random(random: Random): OrdersAction = when (random.nextInt(100)) {
            in 0 until 40 -> Advance(random.nextLong(1, 3_000))
            in 40 until 60 -> SwitchPreset(random.nextInt(OrdersFleet.PRESETS.size))
            in 60 until 64 -> Kill(node(random))
            in 64 until 69 -> Freeze(node(random), random.nextLong(100, 15_000))
            in 69 until 74 -> FreezeAtNextOrder(points.random(random), random.nextLong(1_000, 15_000))
            in 74 until 81 -> Disagree(node(random), nodes(random))
            in 81 until 85 -> RestartEngine(random.nextInt(OrdersFleet.ENGINES))
            in 85 until 90 -> LoseAnswers(random.nextInt(90))
            in 90 until 95 -> SetStore(FakeLeaseStore.Mode.entries.random(random))
            else -> Heal
        }

        private fun node(random: Random): Int = random.nextInt(OrdersFleet.ROUTERS)

        private fun nodes(random: Random): Set<Int> =
            (0 until OrdersFleet.ROUTERS).filter { random.nextBoolean() }.toSet()
    }
}
