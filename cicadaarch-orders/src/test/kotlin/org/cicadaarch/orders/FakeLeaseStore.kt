package org.cicadaarch.orders

import kotlin.random.Random
import org.cicadaarch.model.store.ExpectedState
import org.cicadaarch.model.store.LeaseId
import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreResult
import org.cicadaarch.model.store.StoredValue

/** A store of keys bound to leases in virtual time. It can be unavailable or lose requests and responses. */
internal class FakeLeaseStore(private val time: VirtualTime, private val random: Random) {
    enum class Mode { HEALTHY, DOWN, LOSING_RESPONSES }

    private data class Lease(val timeToLive: Long, val expiresAt: Long)

    private val values = mutableMapOf<String, StoredValue>()
    private val leases = mutableMapOf<LeaseId, Lease>()
    private var revision = 0L
    private var lastLeaseId = 0L
    var mode = Mode.HEALTHY

    fun execute(command: StoreCommand, onResult: (StoreResult) -> Unit) {
        when (mode) {
            Mode.HEALTHY -> time.after(random.nextLong(1, 5)) {
                val result = apply(command)
                time.after(random.nextLong(1, 5)) { onResult(result) }
            }

            Mode.DOWN -> time.after(5) { onResult(StoreResult.Refused("store is unavailable")) }

            Mode.LOSING_RESPONSES -> {
                if (random.nextBoolean()) time.after(random.nextLong(1, 2_000)) { apply(command) }
                time.after(300) { onResult(StoreResult.Unanswered("no response")) }
            }
        }
    }

    private fun apply(command: StoreCommand): StoreResult {
        removeExpired()
        return when (command) {
            is StoreCommand.GrantLease -> grantLease(command)
            is StoreCommand.RenewLease -> renewLease(command.lease)
            is StoreCommand.RevokeLease -> revokeLease(command.lease)
            is StoreCommand.CompareAndSet -> createKey(command)
            else -> error("unexpected command: $command")
        }
    }

    private fun grantLease(command: StoreCommand.GrantLease): StoreResult {
        val id = LeaseId(++lastLeaseId)
        val timeToLive = command.timeToLive.inWholeMilliseconds
        leases[id] = Lease(timeToLive, time.now + timeToLive)
        return StoreResult.LeaseHeld(id, command.timeToLive)
    }

    private fun renewLease(id: LeaseId): StoreResult {
        val lease = leases[id] ?: return StoreResult.LeaseLost
        leases[id] = lease.copy(expiresAt = time.now + lease.timeToLive)
        return StoreResult.LeaseHeld(id, OrdersTestFleet.SETTINGS.leaseTime)
    }

    private fun revokeLease(id: LeaseId): StoreResult {
        leases.remove(id) ?: return StoreResult.LeaseLost
        removeExpired()
        return StoreResult.Written(++revision)
    }

    private fun createKey(command: StoreCommand.CompareAndSet): StoreResult {
        check(command.expected == ExpectedState.Absent) { "expected a write that creates its key, got $command" }
        if (command.lease !in leases) return StoreResult.LeaseLost
        values[command.key]?.let { return StoreResult.Conflict(it) }
        revision += 1
        values[command.key] = StoredValue(command.key, command.value, revision, revision, command.lease)
        return StoreResult.Written(revision)
    }

    private fun removeExpired() {
        leases.values.removeAll { it.expiresAt <= time.now }
        values.values.removeAll { it.lease !in leases }
    }
}
