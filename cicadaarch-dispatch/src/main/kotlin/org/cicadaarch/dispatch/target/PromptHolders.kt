package org.cicadaarch.dispatch.target

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.cicadaarch.model.TargetId

/**
 * The target to which this router last sent each prompt; the prompts that were not sent for longest are forgotten.
 */
data class PromptHolders(private val targets: PersistentMap<String, TargetId> = persistentMapOf()) {
    /** The last target of [promptKey]. */
    fun holderOf(promptKey: String): TargetId? = targets[promptKey]

    /** The holders after [promptKey] was sent to [target]. */
    fun sent(promptKey: String, target: TargetId): PromptHolders {
        val latest = targets.remove(promptKey).put(promptKey, target)
        return PromptHolders(if (latest.size > MOST_PROMPTS) latest.remove(latest.keys.first()) else latest)
    }

    private companion object {
        const val MOST_PROMPTS = 4096
    }
}
