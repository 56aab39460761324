package org.cicadaarch.orders

import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.store.ExpectedState
import org.cicadaarch.model.store.LeaseId
import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreResult

/**
 * Acquires, renews and releases the lease of a group.
 *
 * The validity of a lease is counted from the time at which the granting or renewing call was sent. A lease that has
 * expired by this router's clock is renewed before it is used again, because only the store knows whether it has
 * expired.
 */
internal class LeaseManager(private val settings: OrdersSettings) {
    /** Sends the next store call that is due to acquire the group or to keep it. */
    fun maintain(group: GroupState, now: Timestamp): Step<GroupState, OrdersEffect> {
        if (group.call != null || now < group.retryAt) return Step(group)
        val lease = group.lease
        return when {
            lease == null -> callStore(group, LeaseCall.Kind.GRANT, StoreCommand.GrantLease(settings.leaseTime), now)
            lease.fencingToken != null -> renewIfDue(group, lease, now)
            now >= lease.validUntil -> Step(group.copy(lease = null))
            else -> callStore(group, LeaseCall.Kind.CLAIM, claimCommand(group, lease), now)
        }
    }

    /** Revokes the lease once no engine call is pending: no order may be on its way when another router takes over. */
    fun release(group: GroupState, now: Timestamp): Step<GroupState, OrdersEffect> {
        val lease = group.lease ?: return Step(group)
        if (group.call != null || group.hasPendingEngineCalls() || now < group.retryAt) return Step(group)
        return callStore(group, LeaseCall.Kind.REVOKE, StoreCommand.RevokeLease(lease.id), now)
    }

    fun onStoreCallCompleted(
        group: GroupState,
        number: Long,
        result: StoreResult,
        now: Timestamp,
    ): Step<GroupState, OrdersEffect> {
        val call = group.call
        if (call == null || call.number != number) return Step(group)
        val idle = group.copy(call = null)
        return when (result) {
            is StoreResult.Refused -> onFailure(idle, result.reason, now)
            is StoreResult.Unanswered -> onFailure(idle, result.reason, now)
            StoreResult.LeaseLost -> onLeaseEnded(idle, "lease expired", now)
            else -> onSuccess(idle, call, result, now)
        }
    }

    private fun onSuccess(
        group: GroupState,
        call: LeaseCall,
        result: StoreResult,
        now: Timestamp,
    ): Step<GroupState, OrdersEffect> = when (call.kind) {
        LeaseCall.Kind.GRANT, LeaseCall.Kind.RENEW -> onLeaseExtended(group, call, result)
        LeaseCall.Kind.CLAIM -> onClaimed(group, result, now)
        LeaseCall.Kind.REVOKE -> onLeaseEnded(group, "lease released", now)
    }

    private fun onLeaseExtended(
        group: GroupState,
        call: LeaseCall,
        result: StoreResult,
    ): Step<GroupState, OrdersEffect> {
        check(result is StoreResult.LeaseHeld) { "unexpected result of a lease call: $result" }
        val lease = group.lease ?: HolderLease(result.lease, call.sentAt, call.sentAt)
        val extended = lease.copy(
            validUntil = call.sentAt + result.timeToLive,
            renewAt = call.sentAt + result.timeToLive / RENEWALS_PER_LEASE,
        )
        return Step(group.copy(lease = extended))
    }

    private fun onClaimed(group: GroupState, result: StoreResult, now: Timestamp): Step<GroupState, OrdersEffect> {
        val lease = checkNotNull(group.lease) { "${group.group} was claimed without a lease" }
        val fencingToken = fencingTokenOf(result, lease.id)
            ?: return Step(group.copy(retryAt = now + settings.retryInterval))
        return Step(
            group.copy(lease = lease.copy(fencingToken = fencingToken, acquiredAt = now)),
            listOf(OrdersEffect.Log(OrdersNotice.GroupHeld(group.group, fencingToken))),
        )
    }

    /**
     * The fencing token of a successful claim, or null when another lease holds the key. A conflict with this router's
     * own lease means that an earlier claim succeeded although its response was lost.
     */
    private fun fencingTokenOf(result: StoreResult, lease: LeaseId): Long? = when (result) {
        is StoreResult.Written -> result.version.revision
        is StoreResult.Conflict -> result.current?.takeIf { it.lease == lease }?.createRevision
        else -> error("unexpected result of a conditional write: $result")
    }

    private fun renewIfDue(group: GroupState, lease: HolderLease, now: Timestamp): Step<GroupState, OrdersEffect> {
        if (now < lease.renewAt) return Step(group)
        return callStore(group, LeaseCall.Kind.RENEW, StoreCommand.RenewLease(lease.id), now)
    }

    private fun claimCommand(group: GroupState, lease: HolderLease): StoreCommand = StoreCommand.CompareAndSet(
        key = group.group.key,
        expected = ExpectedState.Absent,
        value = "lease ${lease.id.value}",
        lease = lease.id,
    )

    private fun callStore(
        group: GroupState,
        kind: LeaseCall.Kind,
        command: StoreCommand,
        now: Timestamp,
    ): Step<GroupState, OrdersEffect> {
        val number = group.lastNumber + 1
        return Step(
            group.copy(call = LeaseCall(number, kind, sentAt = now), lastNumber = number),
            listOf(OrdersEffect.Store(OrdersToken(group.group, number), command)),
        )
    }

    private fun onFailure(group: GroupState, reason: String, now: Timestamp): Step<GroupState, OrdersEffect> = Step(
        group.copy(retryAt = now + settings.retryInterval),
        listOf(OrdersEffect.Log(OrdersNotice.StoreFailed(group.group, reason))),
    )

    private fun onLeaseEnded(group: GroupState, reason: String, now: Timestamp): Step<GroupState, OrdersEffect> = Step(
        group.withoutLease(retryAt = now + settings.retryInterval),
        listOf(OrdersEffect.Log(OrdersNotice.GroupLost(group.group, reason))),
    )

    private companion object {
        const val RENEWALS_PER_LEASE = 3
    }
}
