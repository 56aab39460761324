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
    fun fetched(state: MembershipState, entries: List<ListedVm>): MembershipState {
        val list = entries.associateBy { it.address }.toPersistentMap()
        return if (list == state.list) state else state.copy(list = list, contacts = state.contacts.clear())
    }

    /** Reads the list when it is time to. */
    fun fetchDue(state: MembershipState, now: Timestamp): MembershipStep {
        if (now < state.schedule.listFetch) return Step(state)
        val period = maxOf(settings.listFetchPeriod, settings.listFetchPeriodPerEntry * state.list.size)
        return Step(state.copy(schedule = state.schedule.copy(listFetch = now + period)), listOf(FetchList))
    }

    /** Probes the next addresses that are not members, when it is time to. */
    fun contactDue(state: MembershipState, now: Timestamp): MembershipStep {
        if (now < state.schedule.contact) return Step(state)
        val planned = withContacts(state.copy(schedule = state.schedule.copy(contact = now + settings.discoveryPeriod)))
        val alone = planned.table.size == 0
        val next = planned.contacts.asSequence()
            .filter { planned.table.at(it) == null }
            .take(if (alone) settings.bootstrapProbes else 1)
            .toList()
        val last = next.lastOrNull() ?: return Step(planned.copy(contacts = planned.contacts.clear()))
        val remaining = planned.contacts.drop(planned.contacts.indexOf(last) + 1).toPersistentList()
        return next.steps(planned.copy(contacts = remaining)) { current, address ->
            prober.contact(current, address, now)
        }
    }

    private fun withContacts(state: MembershipState): MembershipState {
        if (state.contacts.isNotEmpty()) return state
        val listed = state.list.keys.asSequence()
        val removed = state.tombstones.values.asSequence().filterNot { it.departed }.map { it.info.address }
        val candidates = (listed + removed).filter { it != state.self.address && state.table.at(it) == null }
        val seed = settings.seed xor state.self.id.hashCode().toLong() xor state.schedule.contact.milliseconds
        return state.copy(contacts = shuffled(candidates, Random(seed)).toPersistentList())
    }

    private fun shuffled(addresses: Sequence<RouterAddress>, random: Random): List<RouterAddress> =
        addresses.distinct().sortedWith(compareBy({ it.host }, { it.port })).toList().shuffled(random)
}
