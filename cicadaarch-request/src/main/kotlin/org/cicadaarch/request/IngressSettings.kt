package org.cicadaarch.request

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The time limits and budgets of an ingress.
 *
 * [permitTimeout] is how long an admission owner may take to answer, [roundBackoff] the wait before all targets are
 * asked again, [renewalInterval] the time between renewals of held permits. [progressTimeout] is the longest silence of
 * a target before it is probed, [nonIdempotentIdleTimeout] the longest silence of a target whose request may not be
 * repeated, [resumeTimeout] the time in which a broken stream may be resumed. [retryBudgetRatio] is the retries earned
 * by each request and [maxRetryBudget] the most that can be saved. [maxCrashes] is the number of target crashes after
 * which a request is not run again, [maxLateRefusals] the owners that must foresee lateness before it is refused.
 * [queueGracePeriod] is the grace after an expected wait before the owner is asked again, [unreachableRetryDelay] the
 * time in which a router that did not answer is not asked, [maxTokenInterval] the longest time per token of a whole
 * answer.
 */
data class IngressSettings(
    val permitTimeout: Duration = 250.milliseconds,
    val roundBackoff: Duration = 100.milliseconds,
    val renewalInterval: Duration = 3.seconds,
    val progressTimeout: Duration = 3.seconds,
    val nonIdempotentIdleTimeout: Duration = 60.seconds,
    val resumeTimeout: Duration = 30.seconds,
    val retryBudgetRatio: Double = 0.1,
    val maxRetryBudget: Double = 100.0,
    val maxCrashes: Int = 3,
    val maxLateRefusals: Int = 3,
    val queueGracePeriod: Duration = 500.milliseconds,
    val unreachableRetryDelay: Duration = 1.seconds,
    val maxTokenInterval: Duration = 100.milliseconds,
)
