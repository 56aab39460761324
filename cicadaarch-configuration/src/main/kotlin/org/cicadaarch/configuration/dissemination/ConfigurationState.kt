package org.cicadaarch.configuration.dissemination

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.Revision
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.Timestamp

/**
 * The state of [ConfigurationReducer]: the installed document, the revisions of other routers, and pending calls.
 *
 * [peers] maps other routers to the newest revision known to run on them. [rejected] holds the latest revisions whose
 * documents were invalid, and [parsing] those being parsed. [randomDraws] counts the random sources created so far.
 */
data class ConfigurationState(
    val view: RouterView,
    val topology: DisseminationTopology,
    val watch: WatchProgress,
    val lastTick: Timestamp,
    val nextAnnouncementAt: Timestamp,
    val nextReportAt: Timestamp,
    val nextPollAt: Timestamp,
    val nextStatusRequestAt: Timestamp,
    val installed: InstalledDocument? = null,
    val peers: PersistentMap<RouterId, Revision> = persistentMapOf(),
    val rejected: PersistentList<Revision> = persistentListOf(),
    val parsing: PersistentList<Revision> = persistentListOf(),
    val fetch: FetchProgress? = null,
    val nextFetchAt: Timestamp = lastTick,
    val poll: RevisionPoll? = null,
    val randomDraws: Int = 0,
) {
    /** The installed revision, or [Revision.NONE] if none is installed. */
    val revision: Revision get() = installed?.revision ?: Revision.NONE

    /** The latest known revision of each live router, or [Revision.NONE] if unknown. */
    val revisions: Map<RouterId, Revision>
        get() = view.routers.keys.associateWith { if (it == view.self) revision else peers[it] ?: Revision.NONE }

    /** Whether this router watches the store. */
    val isWatcher: Boolean get() = topology.watchers.values.any { view.self in it }

    /** The number of live routers known to run [revision] or a newer one. */
    fun countRunningAtLeast(revision: Revision): Int = revisions.values.count { it >= revision }

    internal fun canInstall(revision: Revision): Boolean = revision > this.revision && revision !in rejected
}
