package org.cicadaarch.dispatch.quarantine

/**
 * The crash of [process] as all routers that reported it saw it. [logicalTime] is the earliest one of the reports.
 */
data class Crash(
    val process: TargetProcess,
    val logicalTime: Long,
    val sentAt: Map<RequestTrait, Long>,
    val proven: Set<RequestTrait>,
) {
    companion object {
        /** The crashes that [reports] are about, in the order of their logical times. */
        fun merge(reports: Collection<CrashRecord.Report>): List<Crash> = reports
            .groupBy { it.process }
            .map { (process, ofProcess) -> merge(process, ofProcess) }
            .sortedWith(compareBy({ it.logicalTime }, { it.process }))

        private fun merge(process: TargetProcess, reports: List<CrashRecord.Report>): Crash {
            val sentAt = HashMap<RequestTrait, Long>()
            reports.forEach { report -> report.sentAt.forEach { (trait, time) -> sentAt.raise(trait, time) } }
            return Crash(
                process = process,
                logicalTime = reports.minOf { it.logicalTime },
                sentAt = sentAt,
                proven = reports.flatMapTo(HashSet()) { it.proven },
            )
        }
    }
}
