package org.cicadaarch.control

import org.cicadaarch.configuration.DocumentDifference

/**
 * The [differences] that [author] wrote at [revision]. [author] is null if it is not known.
 */
data class RecordedChange(val revision: Long, val author: String?, val differences: List<DocumentDifference>)
