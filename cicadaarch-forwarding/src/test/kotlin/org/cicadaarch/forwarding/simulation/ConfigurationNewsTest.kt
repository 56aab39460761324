package org.cicadaarch.forwarding.simulation

import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Guards against a replaced configuration that stays in force: the routers that watched for all heard nothing. */
class ConfigurationNewsTest {
    @ParameterizedTest
    @ValueSource(ints = [8, 22, 24, 45, 95])
    fun `Given that the store turns watching routers away, when a configuration changes, then the others learn soon`(
        routers: Int,
    ) = assertNewsInTime(
        routers,
        "the store gives no response" to { it.ignore() },
        "the store refuses all calls" to { it.reject() },
        "the store resets connections" to { it.reset() },
    )

    @ParameterizedTest
    @ValueSource(ints = [8, 22, 45, 95])
    fun `Given that watching routers are frozen or cut off, when a configuration changes, then the others learn soon`(
        routers: Int,
    ) = assertNewsInTime(routers, "frozen" to { it.cut(withReset = false) }, "cut" to { it.cut(withReset = true) })

    private fun assertNewsInTime(routers: Int, vararg disturbances: Pair<String, (SimulatedRouter) -> Unit>) {
        for ((name, disturb) in disturbances) {
            for (choice in ConfigurationNewsSimulation.Choice.entries) {
                for ((seed, delay) in DELAYS_BY_SEED) {
                    val took = ConfigurationNewsSimulation(routers, seed).timeOfNews(choice, SHARE, delay, disturb)
                    assertTrue(
                        took <= SimulatedRouter.CONFIGURATION_APPLY_TIME,
                        "$name, $choice, seed $seed, $delay: $took",
                    )
                }
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = [8, 95, 360])
    fun `Given a calm fleet, when it watches the store, then the calls do not grow with the fleet`(routers: Int) {
        val calls = ConfigurationNewsSimulation(routers, seed = 1).storeCalls(duration = 60.seconds)
        assertTrue(calls <= MAX_CALLS_A_MINUTE, "$calls")
    }

    private companion object {
        /** The largest share of the routers that the store may turn away at a time. */
        const val SHARE = 0.35
        val DELAYS_BY_SEED = mapOf(1L to 0.seconds, 2L to 0.25.seconds, 3L to 1.seconds)

        /** Eight routers watch two prefixes for ten seconds at a time; probes may cost twice as much as that. */
        const val MAX_CALLS_A_MINUTE = 3.0 * 8 * 2 * 6
    }
}
