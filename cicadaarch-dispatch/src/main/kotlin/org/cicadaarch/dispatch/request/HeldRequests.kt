package org.cicadaarch.dispatch.request

import org.cicadaarch.dispatch.quarantine.QuarantineRule
import org.cicadaarch.dispatch.quarantine.RequestTrait

/**
 * The [rules] by which requests are held back from targets, and those of them that the next matching request is exempt
 * from, as a trial.
 */
data class HeldRequests(
    private val rules: List<QuarantineRule> = emptyList(),
    private val trials: Set<QuarantineRule> = emptySet(),
) {
    /** The rule that holds back requests with [traits], or null if none does. */
    fun ruleFor(traits: Set<RequestTrait>): QuarantineRule? = rules.firstOrNull { it !in trials && it.matches(traits) }

    /** A copy with [next] in place of the rules. Trials of rules that have ended are forgotten. */
    fun withRules(next: List<QuarantineRule>): HeldRequests = HeldRequests(next, trials.intersect(next.toSet()))

    /** A copy in which the next request that [rule] matches is sent. */
    fun withTrial(rule: QuarantineRule): HeldRequests = if (rule in rules) copy(trials = trials + rule) else this

    /** A copy after a request with [traits] was sent, which uses up the trials that it needed. */
    fun withSent(traits: Set<RequestTrait>): HeldRequests =
        if (trials.isEmpty()) this else copy(trials = trials.filterNotTo(HashSet()) { it.matches(traits) })
}
