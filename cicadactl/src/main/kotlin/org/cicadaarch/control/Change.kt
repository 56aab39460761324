package org.cicadaarch.control

import org.cicadaarch.configuration.DocumentDifference

/**
 * An accepted document at [revision]; without [differences] it was there before.
 */
internal data class Change(val revision: Long, val differences: List<DocumentDifference>)
