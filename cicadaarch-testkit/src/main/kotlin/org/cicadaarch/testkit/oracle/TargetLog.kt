package org.cicadaarch.testkit.oracle

import org.cicadaarch.model.TargetId
import org.cicadaarch.testkit.RunRecord

/**
 * The requests that [target] ran.
 */
data class TargetLog(val target: TargetId, val runs: List<RunRecord>)
