package org.cicadaarch.configuration.dissemination

import kotlin.random.Random
import org.cicadaarch.model.Step

internal typealias ConfigurationStep = Step<ConfigurationState, ConfigurationEffect>

/** Applies [next] to the state of this step and concatenates the effects. */
internal inline fun ConfigurationStep.then(next: (ConfigurationState) -> ConfigurationStep): ConfigurationStep {
    val nextStep = next(state)
    return Step(nextStep.state, effects + nextStep.effects)
}

/** A random source determined by [seed], the router's id and [ConfigurationState.randomDraws]. */
internal fun ConfigurationState.random(seed: Long): Random = Random(
    seed * SEED_FACTOR + view.self.value.hashCode() * ROUTER_FACTOR + randomDraws,
)

/** The state with the next random source selected. */
internal fun ConfigurationState.withNextDraw(): ConfigurationState = copy(randomDraws = randomDraws + 1)

private const val SEED_FACTOR = 1_000_003L
private const val ROUTER_FACTOR = 65_537L
