package org.cicadaarch.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the admission of requests to targets.
 *
 * @property permitLease the time after which a permit expires unless it is renewed.
 * @property maximumQueuedPerSlot the maximum length of a target's queue per slot of its capacity.
 * @property maximumRedirects the number of redirects after which a request is queued at the next target that it asks.
 * @property prefillTimePerToken the time to compute one prompt token. A returning chat is queued at the target that has
 * its prompt prefix cached, if the expected wait is not longer than computing the whole prompt on another target.
 * @property rememberedChats the number of redirected chats per home target whose last target is remembered.
 * @property redirectsToLastTarget whether a returning chat is redirected to the target that ran it last.
 * @property newChatLoadMultiple the multiple of the group's mean load up to which a target accepts a chat whose prompt
 * prefix it has not cached.
 * @property enforcesLoadBound whether [LoadBound] limits a target; otherwise only its capacity does.
 * @property usesFairQueueing whether the queue is shared fairly among client accounts; otherwise requests are served
 * by priority and in order of arrival.
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
        require(maximumQueuedPerSlot >= 0) {
            "maximum queued requests per slot must not be negative, was $maximumQueuedPerSlot"
        }
        require(rememberedChats >= 0) { "number of remembered chats must not be negative, was $rememberedChats" }
    }
}
