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
 * The configuration of one router: what is in force, what the others run, and how far its calls have come.
 *
 * [peers] are the newest revisions heard of other routers; [rejected] the last revisions found invalid and [parsing]
 * those being parsed. [randomDraws] counts the random numbers taken.
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
    val question: RevisionPoll? = null,
    val randomDraws: Int = 0,
) {
    /** The revision in force, [Revision.NONE] before there is one. */
    val revision: Revision get() = installed?.revision ?: Revision.NONE

    /** The revision of each live router as far as this one knows, [Revision.NONE] where it knows nothing. */
    val revisions: Map<RouterId, Revision>
        get() = view.routers.keys.associateWith { if (it == view.self) revision else peers[it] ?: Revision.NONE }

    /** Whether this router is one that waits on the store. */
    val isWatcher: Boolean get() = topology.watchers.values.any { view.self in it }

    /** How many live routers are known to run [revision] or a later one. */
    fun countRunningAtLeast(revision: Revision): Int = revisions.values.count { it >= revision }

    internal fun canInstall(revision: Revision): Boolean = revision > this.revision && revision !in rejected
}
