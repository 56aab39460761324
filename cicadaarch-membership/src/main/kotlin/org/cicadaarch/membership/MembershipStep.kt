package org.cicadaarch.membership

import org.cicadaarch.model.Step

internal typealias MembershipStep = Step<MembershipState, MembershipEffect>

/** This step followed by [next], with the effects of both in order. */
internal inline fun MembershipStep.then(next: (MembershipState) -> MembershipStep): MembershipStep {
    val following = next(state)
    return when {
        effects.isEmpty() -> following
        following.effects.isEmpty() -> Step(following.state, effects)
        else -> Step(following.state, effects + following.effects)
    }
}

/** [next] for each item in order, starting from [state]. */
internal inline fun <T> Iterable<T>.foldSteps(
    state: MembershipState,
    next: (MembershipState, T) -> MembershipStep,
): MembershipStep = fold(Step(state)) { step: MembershipStep, item -> step.then { next(it, item) } }
