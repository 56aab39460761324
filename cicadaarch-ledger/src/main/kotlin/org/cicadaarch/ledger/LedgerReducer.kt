package org.cicadaarch.ledger

import org.cicadaarch.ledger.LedgerMessage.ClaimAbandoned
import org.cicadaarch.ledger.LedgerMessage.ClaimFinished
import org.cicadaarch.ledger.LedgerMessage.ClaimRedirected
import org.cicadaarch.ledger.LedgerMessage.ClaimRequest
import org.cicadaarch.ledger.LedgerMessage.ClaimRunning
import org.cicadaarch.model.CallBudget
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp

/**
 * Grants claims of idempotency keys for the shards that this router owns. Across all routers, a key is granted to at
 * most one request that runs per idempotency window.
 *
 * A claim is granted only after its record is known to be in the store, in a gapless prefix of the shard's segment log.
 * Shard ownership is an optimization and correctness does not depend on it: segments are written by compare-and-swap,
 * so each sequence number is written by one router only.
 */
class LedgerReducer(private val settings: LedgerSettings = LedgerSettings()) {
    private val shardReducer = ShardReducer(settings)

    /** Returns the state and the effects after [event] at [now]. */
    fun reduce(state: LedgerState, event: LedgerEvent, now: Timestamp): Step<LedgerState, LedgerEffect> = when (event) {
        is LedgerEvent.Received -> onMessage(state, event, now)

        is LedgerEvent.StoreCallCompleted -> updateShard(state, event.token.shard) { shard ->
            shardReducer.onStoreResult(shard, event.token, event.result, state.timeAt(now))
        }

        is LedgerEvent.RoutersChanged -> Step(state.copy(view = event.view))

        is LedgerEvent.Tick -> onTick(state.copy(epochSeconds = event.epochSeconds, tickedAt = now), now)
    }

    private fun onMessage(
        state: LedgerState,
        event: LedgerEvent.Received,
        now: Timestamp,
    ): Step<LedgerState, LedgerEffect> {
        val number = ShardOwnership.shardOf(event.message.claim.key, settings.shards)
        val owner = ShardOwnership.ownerOf(number, state.view)
        val shard = state.shards[number]
        if (shard?.segmentLog == null && owner != state.view.self) return redirect(state, event, owner)
        val known = shard ?: ShardState(number, lastUsedAt = now, callBudget = CallBudget(settings.callBurst))
        val used = known.copy(lastUsedAt = now)
        return updateShard(state.copy(shards = state.shards.put(number, used)), number) {
            onMessage(it, event.message, state.timeAt(now))
        }
    }

    private fun onMessage(
        shard: ShardState,
        message: LedgerMessage.ForOwner,
        time: LedgerTime,
    ): Step<ShardState, LedgerEffect> = when (message) {
        is ClaimRequest -> shardReducer.onClaimRequest(shard, message, time)

        is ClaimFinished -> {
            val record = LedgerRecord.Finished(message.claim, message.result, message.digest)
            shardReducer.onReport(shard, record, time)
        }

        is ClaimAbandoned -> shardReducer.onReport(shard, LedgerRecord.Abandoned(message.claim), time)

        is ClaimRunning -> Step(shardReducer.onHolderRunning(shard, message.claim, time))
    }

    private fun redirect(
        state: LedgerState,
        event: LedgerEvent.Received,
        owner: RouterId?,
    ): Step<LedgerState, LedgerEffect> = when {
        owner == null || event.message is ClaimRunning -> Step(state)
        else -> Step(state, listOf(LedgerEffect.Send(event.from, ClaimRedirected(event.message.claim, owner))))
    }

    private fun onTick(state: LedgerState, now: Timestamp): Step<LedgerState, LedgerEffect> =
        state.shards.values.fold(Step(state)) { step, shard ->
            if (canUnload(step.state, shard, now)) {
                step.copy(state = step.state.copy(shards = step.state.shards.remove(shard.number)))
            } else {
                val next = updateShard(step.state, shard.number) { shardReducer.onTick(it, state.timeAt(now)) }
                Step(next.state, step.effects + next.effects)
            }
        }

    private fun canUnload(state: LedgerState, shard: ShardState, now: Timestamp): Boolean = shard.call == null &&
        shard.claims.isEmpty() &&
        shard.reports.isEmpty() &&
        now - shard.lastUsedAt >= settings.idleUnloadDelay &&
        ShardOwnership.ownerOf(shard.number, state.view) != state.view.self

    private fun updateShard(
        state: LedgerState,
        number: Int,
        change: (ShardState) -> Step<ShardState, LedgerEffect>,
    ): Step<LedgerState, LedgerEffect> {
        val shard = state.shards[number] ?: return Step(state)
        val step = change(shard)
        return Step(state.copy(shards = state.shards.put(number, step.state)), step.effects)
    }

    // After a pause, a process may handle other events before its next tick. Adding the time since the last tick keeps
    // the records that it writes meanwhile from being stamped too early.
    private fun LedgerState.timeAt(now: Timestamp): LedgerTime =
        LedgerTime(now, epochSeconds + (now - tickedAt).inWholeSeconds)
}
