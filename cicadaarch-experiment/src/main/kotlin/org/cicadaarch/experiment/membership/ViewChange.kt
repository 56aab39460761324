package org.cicadaarch.experiment.membership

import org.cicadaarch.model.RouterId
import org.cicadaarch.model.Timestamp

/**
 * At [at], the view of [viewer] gained or lost [router].
 */
data class ViewChange(val viewer: RouterId, val router: RouterId, val gained: Boolean, val at: Timestamp)
