package org.cicadaarch.forwarding.quarantine

import kotlinx.serialization.Serializable
import org.cicadaarch.dispatch.quarantine.CrashRecord
import org.cicadaarch.dispatch.quarantine.RequestTrait
import org.cicadaarch.dispatch.quarantine.TargetProcess
import org.cicadaarch.model.TargetId

/**
 * The stored form of a [CrashRecord]: just one of [report], [clearance] and [trial] is set. The maps have logical times
 * by trait.
 */
@Serializable
internal data class CrashRecordMessage(
    val report: Report? = null,
    val clearance: Map<String, Long>? = null,
    val trial: Trial? = null,
) {
    /** Converts the message to the form that the dispatch module uses. */
    fun toRecord(): CrashRecord {
        require(listOfNotNull(report, clearance, trial).size == 1) { "it is not just one of report, clearance, trial" }
        return report?.toRecord() ?: trial?.toRecord() ?: CrashRecord.Clearance(toTraits(clearance.orEmpty()))
    }

    /** The stored form of [CrashRecord.Report]. */
    @Serializable
    data class Report(
        val target: String,
        val startedAt: Long,
        val logicalTime: Long,
        val sentAt: Map<String, Long>,
        val proven: Set<String> = emptySet(),
    ) {
        internal fun toRecord() = CrashRecord.Report(
            process = TargetProcess(TargetId(target), startedAt),
            logicalTime = logicalTime.also {
                require(it in 1..MAX_LOGICAL_TIME) { "logicalTime is out of range: $it" }
            },
            sentAt = toTraits(sentAt),
            proven = proven.mapTo(HashSet()) { RequestTrait(it) },
        )
    }

    /** The stored form of [CrashRecord.Trial]. */
    @Serializable
    data class Trial(val traits: Set<String>, val number: Int) {
        internal fun toRecord() = CrashRecord.Trial(traits.mapTo(HashSet()) { RequestTrait(it) }, number)
    }

    companion object {
        /** Far more crashes than there will ever be; a greater number would be the last one. */
        private const val MAX_LOGICAL_TIME = Long.MAX_VALUE / 2

        /** The message for [record]. */
        fun of(record: CrashRecord): CrashRecordMessage = when (record) {
            is CrashRecord.Report -> CrashRecordMessage(report = reportOf(record))

            is CrashRecord.Clearance -> CrashRecordMessage(clearance = record.clearedUntil.mapKeys { it.key.value })

            is CrashRecord.Trial -> CrashRecordMessage(
                trial = Trial(record.traits.mapTo(HashSet()) { it.value }, record.number),
            )
        }

        private fun reportOf(record: CrashRecord.Report) = Report(
            target = record.process.target.value,
            startedAt = record.process.startedAtMillis,
            logicalTime = record.logicalTime,
            sentAt = record.sentAt.mapKeys { it.key.value },
            proven = record.proven.mapTo(HashSet()) { it.value },
        )

        private fun toTraits(times: Map<String, Long>): Map<RequestTrait, Long> = times.mapKeys { RequestTrait(it.key) }
    }
}
