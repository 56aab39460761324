package org.cicadaarch.experiment.orders

import kotlin.random.Random
import kotlin.time.Duration.Companion.microseconds
import org.cicadaarch.experiment.ledger.VirtualTime
import org.cicadaarch.model.store.LeaseId
import org.cicadaarch.model.store.StoreCommand
import org.cicadaarch.model.store.StoreResult
import org.cicadaarch.model.store.StoredValue

/**
 * Keys bound to leases in virtual time, answering within 2 to 4 ms.
 */
internal class SimulatedLeaseStore(private val time: VirtualTime, private val random: Random) {
    private data class Lease(val timeToLive: Long, val lapsesAt: Long)

    private val leases = mutableMapOf<LeaseId, Lease>()
    private val values = mutableMapOf<String, StoredValue>()
    private var revision = 0L
    private var granted = 0L

    /** Calls so far. */
    var calls = 0L
        private set

    /** Runs [command] and calls [onResult] when its answer arrives. */
    fun execute(command: StoreCommand, onResult: (StoreResult) -> Unit) {
        calls += 1
        time.after(random.nextLong(LEAST_DELAY, MOST_DELAY)) {
            leases.values.removeAll { it.lapsesAt <= time.now }
            values.values.removeAll { it.lease !in leases }
            val result = apply(command)
            time.after(random.nextLong(LEAST_DELAY, MOST_DELAY)) { onResult(result) }
        }
    }

    private fun apply(command: StoreCommand): StoreResult = when (command) {
        is StoreCommand.GrantLease -> {
            val id = LeaseId(++granted)
            val timeToLive = command.timeToLive.inWholeMicroseconds
            leases[id] = Lease(timeToLive, time.now + timeToLive)
            StoreResult.LeaseHeld(id, command.timeToLive)
        }

        is StoreCommand.RenewLease -> renewed(command.lease)

        is StoreCommand.CompareAndSet -> created(command)

        else -> error("no $command is expected")
    }

    private fun renewed(id: LeaseId): StoreResult {
        val lease = leases[id] ?: return StoreResult.LeaseLost
        leases[id] = lease.copy(lapsesAt = time.now + lease.timeToLive)
        return StoreResult.LeaseHeld(id, lease.timeToLive.microseconds)
    }

    private fun created(command: StoreCommand.CompareAndSet): StoreResult {
        values[command.key]?.let { return StoreResult.Conflict(it) }
        revision += 1
        values[command.key] = StoredValue(command.key, command.value, revision, revision, command.lease)
        return StoreResult.Written(revision)
    }

    private companion object {
        const val LEAST_DELAY = 1_000L
        const val MOST_DELAY = 2_000L
    }
}
