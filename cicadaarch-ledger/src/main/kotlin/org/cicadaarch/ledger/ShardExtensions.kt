package org.cicadaarch.ledger

import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.store.StoreCommand

private const val BACKOFF_FACTOR = 2

/** Applies [next] to the state of this step and returns its state with the effects of both. */
internal fun <S, E> Step<S, E>.then(next: (S) -> Step<S, E>): Step<S, E> {
    val following = next(state)
    return Step(following.state, effects + following.effects)
}

/** Delays the next store call by an exponential backoff. */
internal fun ShardState.withBackoff(settings: LedgerSettings, now: Timestamp): ShardState {
    val next = (backoff * BACKOFF_FACTOR).coerceIn(settings.minimumBackoff, settings.maximumBackoff)
    return copy(backoff = next, retryAt = now + next)
}

/** Sends [command] to the store, with the call that [create] returns for its ID as the outstanding call. */
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

/** Discards what was read of the shard, so that it is loaded again. Pending claims and reports are kept. */
internal fun ShardState.unloaded(): ShardState = copy(segmentLog = null, loading = LoadProgress())
