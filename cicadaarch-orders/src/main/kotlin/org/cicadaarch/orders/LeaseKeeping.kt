package org.cicadaarch.orders

import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.store.ExpectedState
import org.cicadaarch.model.store.LeaseId
import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreResult

/**
 * Obtains, renews and gives back the lease of a group.
 *
 * Validity counts from when a call was sent. A lease that ran out by this router's clock is renewed before it is used
 * again: only the store knows whether it lapsed.
 */
internal class LeaseKeeping(private val settings: OrdersSettings) {
    fun kept(group: GroupState, now: Timestamp): Step<GroupState, OrdersEffect> {
        if (group.call != null || now < group.retryAt) return Step(group)
        val lease = group.lease
        return when {
            lease == null -> calling(group, LeaseCall.Kind.GRANT, StoreCommand.GrantLease(settings.leaseTime), now)
            lease.fencingToken != null -> renewed(group, lease, now)
            now >= lease.validUntil -> Step(group.copy(lease = null))
            else -> calling(group, LeaseCall.Kind.CLAIM, claimOf(group, lease), now)
        }
    }

    fun given(group: GroupState, now: Timestamp): Step<GroupState, OrdersEffect> {
        val lease = group.lease ?: return Step(group)
        if (group.call != null || group.isAwaitingOrders() || now < group.retryAt) return Step(group)
        return calling(group, LeaseCall.Kind.REVOKE, StoreCommand.RevokeLease(lease.id), now)
    }

    fun answered(
        group: GroupState,
        number: Long,
        result: StoreResult,
        now: Timestamp,
    ): Step<GroupState, OrdersEffect> {
        val call = group.call
        if (call == null || call.number != number) return Step(group)
        val free = group.copy(call = null)
        return when (result) {
            is StoreResult.Refused -> failed(free, result.reason, now)
            is StoreResult.Unanswered -> failed(free, result.reason, now)
            StoreResult.LeaseLost -> lost(free, "lease lapsed", now)
            else -> succeeded(free, call, result, now)
        }
    }

    private fun succeeded(
        group: GroupState,
        call: LeaseCall,
        result: StoreResult,
        now: Timestamp,
    ): Step<GroupState, OrdersEffect> = when (call.kind) {
        LeaseCall.Kind.GRANT, LeaseCall.Kind.RENEW -> extended(group, call, result)
        LeaseCall.Kind.CLAIM -> claimed(group, result, now)
        LeaseCall.Kind.REVOKE -> lost(group, "given back", now)
    }

    private fun extended(group: GroupState, call: LeaseCall, result: StoreResult): Step<GroupState, OrdersEffect> {
        check(result is StoreResult.LeaseHeld) { "a lease call was answered by $result" }
        val lease = group.lease ?: HolderLease(result.lease, call.sentAt, call.sentAt)
        val extended = lease.copy(
            validUntil = call.sentAt + result.timeToLive,
            renewAt = call.sentAt + result.timeToLive / RENEWALS_PER_LEASE,
        )
        return Step(group.copy(lease = extended))
    }

    private fun claimed(group: GroupState, result: StoreResult, now: Timestamp): Step<GroupState, OrdersEffect> {
        val lease = checkNotNull(group.lease) { "${group.group} was claimed without a lease" }
        val fencing = fencingOf(result, lease.id) ?: return Step(group.copy(retryAt = now + settings.retryInterval))
        return Step(
            group.copy(lease = lease.copy(fencingToken = fencing, heldAt = now)),
            listOf(OrdersEffect.Log(OrdersNotice.GroupHeld(group.group, fencing))),
        )
    }

    private fun fencingOf(result: StoreResult, lease: LeaseId): Long? = when (result) {
        is StoreResult.Written -> result.revision
        is StoreResult.Conflict -> result.current?.takeIf { it.lease == lease }?.createRevision
        else -> error("a conditional write was answered by $result")
    }

    private fun renewed(group: GroupState, lease: HolderLease, now: Timestamp): Step<GroupState, OrdersEffect> {
        if (now < lease.renewAt) return Step(group)
        return calling(group, LeaseCall.Kind.RENEW, StoreCommand.RenewLease(lease.id), now)
    }

    private fun claimOf(group: GroupState, lease: HolderLease): StoreCommand = StoreCommand.CompareAndSet(
        key = group.group.key,
        expected = ExpectedState.Absent,
        value = "lease ${lease.id.value}",
        lease = lease.id,
    )

    private fun calling(
        group: GroupState,
        kind: LeaseCall.Kind,
        command: StoreCommand,
        now: Timestamp,
    ): Step<GroupState, OrdersEffect> {
        val number = group.numbers + 1
        return Step(
            group.copy(call = LeaseCall(number, kind, sentAt = now), numbers = number),
            listOf(OrdersEffect.Store(OrdersToken(group.group, number), command)),
        )
    }

    private fun failed(group: GroupState, reason: String, now: Timestamp): Step<GroupState, OrdersEffect> = Step(
        group.copy(retryAt = now + settings.retryInterval),
        listOf(OrdersEffect.Log(OrdersNotice.StoreFailed(group.group, reason))),
    )

    private fun lost(group: GroupState, reason: String, now: Timestamp): Step<GroupState, OrdersEffect> = Step(
        group.withoutLease(retryAt = now + settings.retryInterval),
        listOf(OrdersEffect.Log(OrdersNotice.GroupLost(group.group, reason))),
    )

    private companion object {
        const val RENEWALS_PER_LEASE = 3
    }
}
