package org.cicadaarch.configuration.dissemination

import kotlin.random.Random
import org.cicadaarch.model.Step

internal typealias ConfigurationStep = Step<ConfigurationState, ConfigurationEffect>

/** This step followed by what [next] makes of its state. */
internal inline fun ConfigurationStep.then(next: (ConfigurationState) -> ConfigurationStep): ConfigurationStep {
    val following = next(state)
    return Step(following.state, effects + following.effects)
}

/** A random source that depends only on [seed], the router and how many were [taken][ConfigurationState.randomDraws]. */
internal fun ConfigurationState.random(seed: Long): Random = Random(
    seed * SEED_FACTOR + view.self.value.hashCode() * ROUTER_FACTOR + randomDraws,
)

/** The state after one random source was taken. */
internal fun ConfigurationState.withNextDraw(): ConfigurationState = copy(randomDraws = randomDraws + 1)

private const val SEED_FACTOR = 1_000_003L
private const val ROUTER_FACTOR = 65_537L
