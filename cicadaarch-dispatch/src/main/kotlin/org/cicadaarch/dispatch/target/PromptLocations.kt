package org.cicadaarch.dispatch.target

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.TargetId

/**
 * The target to which this router last sent each prompt. Only the most recently sent prompts are kept.
 */
data class PromptLocations(private val targets: PersistentMap<String, TargetId> = persistentMapOf()) {
    /** The target to which [promptKey] was last sent, or null if it is not known. */
    fun lastTarget(promptKey: String): TargetId? = targets[promptKey]

    /** A copy that records that [promptKey] was sent to [target]. */
    fun withSent(promptKey: String, target: TargetId): PromptLocations {
        val latest = targets.remove(promptKey).put(promptKey, target)
        return PromptLocations(if (latest.size > MAX_PROMPTS) latest.remove(latest.keys.first()) else latest)
    }

    private companion object {
        const val MAX_PROMPTS = 4096
    }
}
