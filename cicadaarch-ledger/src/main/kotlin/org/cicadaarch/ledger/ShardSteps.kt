package org.cicadaarch.ledger

import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.store.StoreCommand

private const val BACKOFF_FACTOR = 2

/** The step followed by [next] on its state, with the effects of both. */
internal fun <S, E> Step<S, E>.then(next: (S) -> Step<S, E>): Step<S, E> {
    val following = next(state)
    return Step(following.state, effects + following.effects)
}

/** The shard with its next store call put off by an exponential backoff. */
internal fun ShardState.delayed(settings: LedgerSettings, now: Timestamp): ShardState {
    val next = (backoff * BACKOFF_FACTOR).coerceIn(settings.minimumBackoff, settings.maximumBackoff)
    return copy(backoff = next, retryAt = now + next)
}

/** The shard with the call that [create] numbers outstanding, and [command] as its effect. */
internal fun ShardState.calling(command: StoreCommand, create: (Long) -> ShardCall): Step<ShardState, LedgerEffect> {
    val number = calls + 1
    return Step(
        copy(call = create(number), calls = number),
        listOf(LedgerEffect.Store(LedgerToken(this.number, number), command)),
    )
}

/** The shard as before its first load, its waiting claims and reports kept. */
internal fun ShardState.unloaded(): ShardState = copy(chain = null, loading = LoadProgress())
