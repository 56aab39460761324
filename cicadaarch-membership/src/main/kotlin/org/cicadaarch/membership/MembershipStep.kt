package org.cicadaarch.membership

import org.cicadaarch.model.Step

internal typealias MembershipStep = Step<MembershipState, MembershipEffect>

/** Runs [next] on this step's state and concatenates the effects of both. */
internal inline fun MembershipStep.then(next: (MembershipState) -> MembershipStep): MembershipStep {
    val following = next(state)
    return when {
        effects.isEmpty() -> following
        following.effects.isEmpty() -> Step(following.state, effects)
        else -> Step(following.state, effects + following.effects)
    }
}

/** Runs [next] for each item in order, starting from [state], and concatenates all effects. */
internal inline fun <T> Iterable<T>.foldSteps(
    state: MembershipState,
    next: (MembershipState, T) -> MembershipStep,
): MembershipStep = fold(Step(state)) { step: MembershipStep, item -> step.then { next(it, item) } }
