package org.cicadaarch.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of admission owners.
 *
 * A permit lapses after [permitLease]. A target's queue holds at most [maximumQueuedPerSlot] requests per slot. A request that
 * was spilled [maximumRedirects] times is queued where it asks next. A returning chat waits where its prefix is rather
 * than spill while that takes less than computing its prompt anew, at [prefillTimePerToken] per token. [rememberedChats]
 * chats per target are remembered, and followed to the target that ran them last when [redirectsToLastTarget]. A chat
 * without a prefix is taken at its home only while the home carries less than [newChatLoadMultiple] of the mean.
 * Without [enforcesLoadBound] only the capacity limits a target; without [usesFairQueueing] the queue is served in
 * order of arrival.
 */
data class AdmissionSettings(
    val permitLease: Duration = 10.seconds,
    val maximumQueuedPerSlot: Int = 8,
    val maximumRedirects: Int = 3,
    val prefillTimePerToken: Duration = 300.microseconds,
    val rememberedChats: Int = 4_096,
    val redirectsToLastTarget: Boolean = true,
    val newChatLoadMultiple: Double = 1.0,
    val enforcesLoadBound: Boolean = true,
    val usesFairQueueing: Boolean = true,
) {
    init {
        require(permitLease.isPositive()) { "permit lease must be positive, was $permitLease" }
        require(maximumQueuedPerSlot >= 0) { "queue per slot must not be negative, was $maximumQueuedPerSlot" }
        require(rememberedChats >= 0) { "spill memory must not be negative, was $rememberedChats" }
    }
}
