package org.cicadaarch.membership

import kotlin.random.Random
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.cicadaarch.membership.MembershipEffect.FetchList
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.Step
import org.cicadaarch.model.Timestamp

/**
 * Discovers routers by probing addresses of the platform's VM list that are not in the member table.
 *
 * The list alone never adds or removes a member, so a stale or missing list does no harm. Addresses of members that
 * were removed as unreachable are probed too, so that both sides find each other after a network partition heals.
 */
internal class ListReconciler(private val settings: MembershipSettings, private val prober: Prober) {
    /** Replaces the VM list with [entries]; a changed list restarts discovery. */
    fun updateList(state: MembershipState, entries: List<ListedVm>): MembershipState {
        val list = entries.associateBy { it.address }.toPersistentMap()
        if (list == state.vmList) return state
        return state.copy(vmList = list, discoveryQueue = state.discoveryQueue.clear())
    }

    /** Requests the VM list if a fetch is due. */
    fun fetchListIfDue(state: MembershipState, now: Timestamp): MembershipStep {
        if (now < state.schedule.listFetch) return Step(state)
        val period = maxOf(settings.listFetchPeriod, settings.listFetchPeriodPerEntry * state.vmList.size)
        return Step(state.copy(schedule = state.schedule.copy(listFetch = now + period)), listOf(FetchList))
    }

    /** Probes the next address in the discovery queue, or several while no member is known, if discovery is due. */
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
