package org.cicadaarch.control

import org.cicadaarch.configuration.DocumentDifference

/**
 * The result of an edit: the document is at [revision]. [differences] is empty if the store had it already.
 */
internal data class Change(val revision: Long, val differences: List<DocumentDifference>)
