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
internal fun ShardState.withBackoff(settings: LedgerSettings, now: Timestamp): ShardState {
    val next = (backoff * BACKOFF_FACTOR).coerceIn(settings.minimumBackoff, settings.maximumBackoff)
    return copy(backoff = next, retryAt = now + next)
}

/** The shard with the call that [create] numbers outstanding, and [command] as its effect. */
internal fun ShardState.startCall(
    command: StoreCommand,
    create: (Long) -> ShardStoreCall,
): Step<ShardState, LedgerEffect> {
    val callId = lastCallId + 1
    return Step(
        copy(call = create(callId), lastCallId = callId),
        listOf(LedgerEffect.Store(LedgerToken(number, callId), command)),
    )
}

/** The shard as before its first load, its waiting claims and reports kept. */
internal fun ShardState.unloaded(): ShardState = copy(segmentLog = null, loading = LoadProgress())
