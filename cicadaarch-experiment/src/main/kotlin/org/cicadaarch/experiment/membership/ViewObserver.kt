package org.cicadaarch.experiment.membership

import org.cicadaarch.model.RouterId
import org.cicadaarch.model.Timestamp

/**
 * Told of each change of a node's view.
 */
fun interface ViewObserver {
    /** The view of [viewer] gained [added] and lost [removed] at [now]. */
    fun viewChanged(viewer: RouterId, added: Set<RouterId>, removed: Set<RouterId>, now: Timestamp)
}
