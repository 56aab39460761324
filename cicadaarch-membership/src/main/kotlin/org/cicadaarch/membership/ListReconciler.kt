package org.cicadaarch.membership

import kotlin.random.Random
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.cicadaarch.membership.MembershipEffect.FetchList
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp

/**
 * Brings the platform's list and the member table together: listed addresses that are not members are probed.
 *
 * The list never adds or removes a member by itself, so a stale or missing list does no harm. The addresses of removed
 * members are probed too, so that both sides of a healed cut find each other.
 */
internal class ListReconciler(private val settings: MembershipSettings, private val prober: Prober) {
    /** Keeps [entries] as the list in use. */
    fun updateList(state: MembershipState, entries: List<ListedVm>): MembershipState {
        val list = entries.associateBy { it.address }.toPersistentMap()
        if (list == state.vmList) return state
        return state.copy(vmList = list, discoveryQueue = state.discoveryQueue.clear())
    }

    /** Reads the list when it is time to. */
    fun fetchListIfDue(state: MembershipState, now: Timestamp): MembershipStep {
        if (now < state.schedule.listFetch) return Step(state)
        val period = maxOf(settings.listFetchPeriod, settings.listFetchPeriodPerEntry * state.vmList.size)
        return Step(state.copy(schedule = state.schedule.copy(listFetch = now + period)), listOf(FetchList))
    }

    /** Probes the next addresses that are not members, when it is time to. */
    fun discoverIfDue(state: MembershipState, now: Timestamp): MembershipStep {
        if (now < state.schedule.discovery) return Step(state)
        val schedule = state.schedule.copy(discovery = now + settings.discoveryPeriod)
        val prepared = withDiscoveryQueue(state.copy(schedule = schedule))
        val hasNoMembers = prepared.table.size == 0
        val next = prepared.discoveryQueue.asSequence()
            .filter { prepared.table.at(it) == null }
            .take(if (hasNoMembers) settings.bootstrapProbes else 1)
            .toList()
        val last = next.lastOrNull() ?: return Step(prepared.copy(discoveryQueue = prepared.discoveryQueue.clear()))
        val remaining = prepared.discoveryQueue.drop(prepared.discoveryQueue.indexOf(last) + 1).toPersistentList()
        return next.foldSteps(prepared.copy(discoveryQueue = remaining)) { current, address ->
            prober.probeAddress(current, address, now)
        }
    }

    private fun withDiscoveryQueue(state: MembershipState): MembershipState {
        if (state.discoveryQueue.isNotEmpty()) return state
        val listed = state.vmList.keys.asSequence()
        val removed = state.tombstones.values.asSequence().filterNot { it.departed }.map { it.info.address }
        val candidates = (listed + removed).filter { it != state.self.address && state.table.at(it) == null }
        val seed = settings.seed xor state.self.id.hashCode().toLong() xor state.schedule.discovery.milliseconds
        return state.copy(discoveryQueue = shuffled(candidates, Random(seed)).toPersistentList())
    }

    private fun shuffled(addresses: Sequence<RouterAddress>, random: Random): List<RouterAddress> =
        addresses.distinct().sortedWith(compareBy({ it.host }, { it.port })).toList().shuffled(random)
}
