package org.cicadaarch.dispatch.admission

import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.admission.FairShares
import org.cicadaarch.model.Timestamp

/**
 * What was served of the requests for one service: by [kinds], and by account in [usualShares] and, as far as they had
 * to queue, in [fairShares]. [meanCost] is a moving average of the cost of a request in seconds of a slot,
 * [meanPromptTokens] of the prompts.
 */
data class ServiceQueueRecord(
    val kinds: PersistentMap<RequestKind, KindRecord> = persistentMapOf(),
    val fairShares: FairShares = FairShares(),
    val usualShares: UsualShares = UsualShares(),
    val meanCost: Double = 0.0,
    val responses: ResponseRecord = ResponseRecord(),
    val meanPromptTokens: Double = 0.0,
) {
    /** The mean, over the kinds that arrived lately, of the ratio of requests that were sent; 1 if none did. */
    fun meanServed(now: Timestamp): Double {
        val ratios = kinds.values.mapNotNull { it.served.knownAt(now) }
        return if (ratios.isEmpty()) 1.0 else ratios.average()
    }

    /** A copy with the record of [kind] after [change]. */
    fun withKind(kind: RequestKind, change: (KindRecord) -> KindRecord): ServiceQueueRecord {
        val updated = kinds.remove(kind).put(kind, change(kinds[kind] ?: KindRecord()))
        return copy(kinds = if (updated.size > MAX_KINDS) updated.remove(updated.keys.first()) else updated)
    }

    /** A copy with a request whose prompt has [promptTokens]. */
    fun withPrompt(promptTokens: Int): ServiceQueueRecord {
        val before = if (meanPromptTokens == 0.0) promptTokens.toDouble() else meanPromptTokens
        return copy(meanPromptTokens = before + (promptTokens - before) * MEAN_WEIGHT)
    }

    /** A copy with a response that ended at [now] after a slot was in use for [slotTime]. */
    fun withResponse(slotTime: Duration, now: Timestamp): ServiceQueueRecord {
        val cost = slotTime.toDouble(DurationUnit.SECONDS)
        return copy(
            meanCost = if (meanCost == 0.0) cost else meanCost + (cost - meanCost) * MEAN_WEIGHT,
            responses = responses.with(now),
        )
    }

    private companion object {
        const val MAX_KINDS = 64
        const val MEAN_WEIGHT = 0.05
    }
}
