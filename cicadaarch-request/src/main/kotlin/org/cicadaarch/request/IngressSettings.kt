package org.cicadaarch.request

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The timeouts, limits and retry budget of an ingress.
 *
 * Permits: an admission owner has [permitTimeout] to reply to a permit request; one that does not is treated as
 * unreachable for [unreachableRetryDelay]. A queued attempt waits for twice the expected time plus [queueGracePeriod]
 * before its permit is requested again. When no target of a round accepted the request, the next round starts after
 * [roundBackoff]. An owner that redirects is asked again only within the first [maxRedirects] of a round. A request is
 * refused as late once [maxLateRefusals] owners of a round refused it as late. The permits of running attempts are
 * renewed every [renewalInterval].
 *
 * Running attempts: a target that makes no progress for [progressTimeout] is probed. If it responds to the probe, it
 * may only be slow, and has more time: [nonIdempotentIdleTimeout] without progress if the request is not idempotent,
 * otherwise twice [progressTimeout] without progress once the response has started, and before that [progressTimeout]
 * after the deadline, plus [maxTokenInterval] for each output token of a response that is not streamed. A broken stream
 * may be resumed until [resumeTimeout] after the deadline.
 *
 * Retries: a request that fails on a target a second time waits for [roundBackoff]. Each request adds
 * [retryBudgetRatio] to the retry budget, up to [maxRetryBudget]. A request whose attempts lost the connection to their
 * target [maxCrashes] times is not run again.
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
    val maxRedirects: Int = 8,
    val queueGracePeriod: Duration = 500.milliseconds,
    val unreachableRetryDelay: Duration = 1.seconds,
    val maxTokenInterval: Duration = 100.milliseconds,
)
