package org.cicadaarch.dispatch.quarantine

import org.cicadaarch.model.TargetId

/**
 * One process of a target: a target that starts again under the same id has another start time (Unix time).
 */
data class TargetProcess(val target: TargetId, val startedAtMillis: Long) : Comparable<TargetProcess> {
    override fun compareTo(other: TargetProcess): Int =
        compareValuesBy(this, other, { it.target }, { it.startedAtMillis })

    override fun toString(): String = "$target@$startedAtMillis"
}
