package org.cicadaarch.orders

import kotlin.random.Random
import org.cicadaarch.model.store.ExpectedState
import org.cicadaarch.model.store.LeaseId
import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreResult
import org.cicadaarch.model.store.StoredValue

/** Keys bound to leases in virtual time; the store can be down or lose answers. */
internal class FakeLeaseStore(private val time: VirtualTime, private val random: Random) {
    enum class Mode { HEALTHY, DOWN, LOSING_ANSWERS }

    private data class Lease(val timeToLive: Long, val lapsesAt: Long)

    private val values = mutableMapOf<String, StoredValue>()
    private val leases = mutableMapOf<LeaseId, Lease>()
    private var revision = 0L
    private var leasesGranted = 0L
    var mode = Mode.HEALTHY

    fun execute(command: StoreCommand, onResult: (StoreResult) -> Unit) {
        when (mode) {
            Mode.HEALTHY -> time.after(random.nextLong(1, 5)) {
                val result = apply(command)
                time.after(random.nextLong(1, 5)) { onResult(result) }
            }

            Mode.DOWN -> time.after(5) { onResult(StoreResult.Refused("down")) }

            Mode.LOSING_ANSWERS -> {
                if (random.nextBoolean()) time.after(random.nextLong(1, 2_000)) { apply(command) }
                time.after(300) { onResult(StoreResult.Unanswered("no answer")) }
            }
        }
    }

    private fun apply(command: StoreCommand): StoreResult {
        dropLapsed()
        return when (command) {
            is StoreCommand.GrantLease -> granted(command)
            is StoreCommand.RenewLease -> renewed(command.lease)
            is StoreCommand.RevokeLease -> revoked(command.lease)
            is StoreCommand.CompareAndSet -> created(command)
            else -> error("orders do not use $command")
        }
    }

    private fun granted(command: StoreCommand.GrantLease): StoreResult {
        val id = LeaseId(++leasesGranted)
        val timeToLive = command.timeToLive.inWholeMilliseconds
        leases[id] = Lease(timeToLive, time.now + timeToLive)
        return StoreResult.LeaseHeld(id, command.timeToLive)
    }

    private fun renewed(id: LeaseId): StoreResult {
        val lease = leases[id] ?: return StoreResult.LeaseLost
        leases[id] = lease.copy(lapsesAt = time.now + lease.timeToLive)
        return StoreResult.LeaseHeld(id, OrdersFleet.SETTINGS.leaseTime)
    }

    private fun revoked(id: LeaseId): StoreResult {
        leases.remove(id) ?: return StoreResult.LeaseLost
        dropLapsed()
        return StoreResult.Written(++revision)
    }

    private fun created(command: StoreCommand.CompareAndSet): StoreResult {
        check(command.expected == ExpectedState.Absent) { "orders only create keys" }
        if (command.lease !in leases) return StoreResult.LeaseLost
        values[command.key]?.let { return StoreResult.Conflict(it) }
        revision += 1
        values[command.key] = StoredValue(command.key, command.value, revision, revision, command.lease)
        return StoreResult.Written(revision)
    }

    private fun dropLapsed() {
        leases.values.removeAll { it.lapsesAt <= time.now }
        values.values.removeAll { it.lease !in leases }
    }
}
