package org.cicadaarch.control

import org.cicadaarch.configuration.DocumentDifference

/**
 * What [author], null when unknown, changed with the write of [revision].
 */
data class RecordedChange(val revision: Long, val author: String?, val differences: List<DocumentDifference>)
