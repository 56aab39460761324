package org.cicadaarch.membership

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.Timestamp

/**
 * The membership as seen by one router.
 *
 * [members] are the routers that respond to probes and the suspected ones. [eligibleMembers] may take roles: a router
 * that rejoins after its removal as unreachable is excluded until its probation ends. The [view] consists of [self] and
 * the eligible members as of the last tick.
 */
@ConsistentCopyVisibility
data class MembershipState internal constructor(
    val self: RouterInfo,
    val incarnation: Long,
    val revision: Revision,
    val view: RouterView,
    internal val schedule: Schedule,
    internal val table: MemberTable = MemberTable(),
    internal val projectedTable: MemberTable = table,
    internal val nextEligibilityAt: Timestamp? = null,
    internal val tombstones: PersistentMap<RouterId, Tombstone> = persistentMapOf(),
    internal val removals: PersistentMap<RouterAddress, RemovalHistory> = persistentMapOf(),
    internal val suspicions: PersistentMap<RouterId, Suspicion> = persistentMapOf(),
    internal val revisions: PersistentMap<RouterId, Revision> = persistentMapOf(),
    internal val helperByMember: PersistentMap<RouterId, RouterAddress> = persistentMapOf(),
    internal val updates: PersistentMap<RouterId, QueuedUpdate> = persistentMapOf(),
    internal val probes: PersistentMap<Int, Probe> = persistentMapOf(),
    internal val relayedProbes: PersistentMap<Int, RelayedProbe> = persistentMapOf(),
    internal val probeOrder: PersistentList<RouterId> = persistentListOf(),
    internal val probePosition: Int = 0,
    internal val priorityProbes: PersistentList<RouterId> = persistentListOf(),
    internal val discoveryQueue: PersistentList<RouterAddress> = persistentListOf(),
    internal val vmList: PersistentMap<RouterAddress, ListedVm> = persistentMapOf(),
    internal val projectedList: PersistentMap<RouterAddress, ListedVm> = vmList,
    internal val sync: SyncProgress = SyncProgress(),
    internal val health: Int = 0,
    internal val sequence: Int = 0,
    internal val departed: Boolean = false,
) {
    /** All members by ID, without this router. */
    val members: Map<RouterId, RouterInfo> get() = table.members.mapValues { it.value.info }

    /** The members eligible for roles as of the last tick, without this router. */
    val eligibleMembers: Set<RouterId> get() = view.routers.keys - self.id

    /** The members under suspicion, which may still refute it. */
    val suspected: Set<RouterId> get() = suspicions.keys

    /** The members whose last successful probe went through a helper. */
    val reachableOnlyIndirectly: Set<RouterId> get() = helperByMember.keys

    /** The last configuration revision that each member reported. */
    val installedRevisions: Map<RouterId, Revision> get() = revisions

    /** The local health score; 0 is healthy, and each point lengthens timeouts by their base value. */
    val healthScore: Int get() = health

    companion object {
        /** Returns the state of router [self] that starts at [now] without any members. */
        fun initial(self: RouterInfo, now: Timestamp, revision: Revision = Revision.NONE): MembershipState =
            MembershipState(
                self = self,
                incarnation = 0,
                revision = revision,
                view = RouterView(self.id, mapOf(self.id to self)),
                schedule = Schedule(
                    lastTick = now,
                    probe = now,
                    gossip = now,
                    discovery = now,
                    listFetch = now,
                    cleanup = now,
                    sync = now,
                ),
            )
    }
}
