package org.cicadaarch.dispatch.quarantine

/**
 * What routers tell each other, through the store, about crashes of targets.
 *
 * Records carry logical times (Lamport clocks) instead of clock readings: each crash gets a greater one than all
 * crashes that its reporter knew, and an attempt has the greatest one that its router knew when it was sent. So an
 * attempt that is not earlier than a crash was sent in the knowledge of that crash.
 */
sealed class CrashRecord {
    /**
     * [process] crashed at [logicalTime] while attempts of the reporter were in flight there. [sentAt] holds the traits
     * of their requests, each with the logical time at which the latest such attempt was sent. Traits in [proven] were
     * in requests that the reporter saw complete before.
     */
    data class Report(
        val process: TargetProcess,
        val logicalTime: Long,
        val sentAt: Map<RequestTrait, Long>,
        val proven: Set<RequestTrait>,
    ) : CrashRecord()

    /**
     * Requests with these traits have completed: each trait is cleared of the crashes up to the given logical time, at
     * which such a request was sent.
     */
    data class Clearance(val clearedUntil: Map<RequestTrait, Long>) : CrashRecord()

    /** One request with all of [traits] may be sent despite their quarantine, for the [number]th time. */
    data class Trial(val traits: Set<RequestTrait>, val number: Int) : CrashRecord()

    companion object {
        /** The most traits of a record; the requests that one router has in flight at a target seldom have more. */
        const val MAX_TRAITS = 192
    }
}
