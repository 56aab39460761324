package org.cicadaarch.request

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The time limits and budgets of an ingress.
 *
 * [permitTimeout] is how long an admission owner may take to answer, [roundPause] the wait before all targets are asked
 * again, [renewalInterval] the time between renewals of held permits, [progressTimeout] the longest silence of a target
 * before it is probed, [silenceLimit] the longest silence of a target whose request may not be repeated,
 * [resumeAllowance] the time in which a broken stream may be resumed. [retryRatio] is the retries
 * earned by each request and [retryReserve] the most that can be saved. [crashLimit] is the number of target crashes
 * after which a request is not run again, [lateAnswers] the owners that must foresee lateness before it is refused.
 * [queueCheck] is the grace after an expected wait before the owner is asked again, [unreachablePause] the time in
 * which a router that did not answer is not asked, [slowestTokenInterval] the longest time per token of a whole answer.
 */
data class IngressSettings(
    val permitTimeout: Duration = 250.milliseconds,
    val roundPause: Duration = 100.milliseconds,
    val renewalInterval: Duration = 3.seconds,
    val progressTimeout: Duration = 3.seconds,
    val silenceLimit: Duration = 60.seconds,
    val resumeAllowance: Duration = 30.seconds,
    val retryRatio: Double = 0.1,
    val retryReserve: Double = 100.0,
    val crashLimit: Int = 3,
    val lateAnswers: Int = 3,
    val queueCheck: Duration = 500.milliseconds,
    val unreachablePause: Duration = 1.seconds,
    val slowestTokenInterval: Duration = 100.milliseconds,
)
