package org.cicadaarch.dispatch.quarantine

import java.util.TreeSet

/**
 * Finds the traits of requests that crash targets in the records of crashes. All routers with the same records come to
 * the same result.
 *
 * A crash implicates the traits of all requests that were in flight at the target. A trait is cleared of the crashes
 * before an attempt with it that completed. What counts against it is a chain of crashes of different processes: an
 * attempt with the trait was in flight at each, and was sent in the knowledge of the crash before. So targets that
 * fail at the same moment for another reason are one crash, not several.
 */
class CrashAnalysis(records: Collection<CrashRecord>) {
    private val crashes = Crash.merge(records.filterIsInstance<CrashRecord.Report>())
    private val clearedUntil = HashMap<RequestTrait, Long>().also { cleared ->
        records.filterIsInstance<CrashRecord.Clearance>().forEach { clearance ->
            clearance.clearedUntil.forEach { (trait, time) -> cleared.raise(trait, time) }
        }
    }

    /** The greatest logical time of a crash, 0 if there is none. */
    val latestTime: Long = crashes.lastOrNull()?.logicalTime ?: 0

    private val uncleared = HashMap<RequestTrait, MutableList<Crash>>().also { crashesByTrait ->
        crashes.forEach { crash ->
            crash.sentAt.keys.forEach { trait ->
                val ofTrait = crashesByTrait.getOrPut(trait) { ArrayList(1) }
                if (crash.logicalTime > (clearedUntil[trait] ?: NEVER)) ofTrait += crash
            }
        }
    }

    /** All traits that a crash implicates, cleared or not. */
    val implicated: Set<RequestTrait> get() = uncleared.keys

    /** The crashes of which [trait] is not cleared, in the order of their logical times. */
    fun crashesOf(trait: RequestTrait): List<Crash> = uncleared[trait].orEmpty()

    /** The length of the chain of crashes against [trait]. */
    fun chainLength(trait: RequestTrait): Int = chainLength(trait, crashesOf(trait))

    /**
     * The rules by which requests are held back. Likely traits are examined first, then those with most crashes; a
     * crash that a rule explains does not count against other traits.
     */
    fun rules(): List<QuarantineRule> {
        val explained = HashSet<TargetProcess>()
        return suspects().mapNotNull { suspect ->
            val unexplained = suspect.crashes.filter { it.process !in explained }
            val chain = suspect.traits.minOf { chainLength(it, unexplained) }
            if (chain < suspect.requiredChain) return@mapNotNull null
            explained += suspect.crashes.map { it.process }
            QuarantineRule(suspect.traits, suspect.crashes.size)
        }
    }

    /** Groups of traits that no crash tells apart, each with a long enough chain, in the order of examination. */
    private fun suspects(): List<Suspect> = uncleared
        .filter { (trait, ofTrait) -> ofTrait.size >= REQUIRED_CHAIN && chainLength(trait, ofTrait) >= REQUIRED_CHAIN }
        .map { (trait, ofTrait) -> Suspect(sortedSetOf(trait), ofTrait, isUnlikely(trait, ofTrait)) }
        .groupBy { suspect -> suspect.crashes.map { it.process } to suspect.isUnlikely }
        .values
        .map { alike -> alike.first().copy(traits = alike.flatMapTo(TreeSet()) { it.traits }) }
        .sortedWith(compareBy({ it.isUnlikely }, { -it.crashes.size }, { it.traits.first() }))

    private fun chainLength(trait: RequestTrait, candidates: List<Crash>): Int {
        var length = 0
        var last = NEVER
        candidates.forEach { crash ->
            if (crash.sentAt.getValue(trait) >= last) {
                length += 1
                last = crash.logicalTime
            }
        }
        return length
    }

    /**
     * Whether requests with [trait] completed before one of its crashes, [ofTrait], or most crashes since the first one
     * were without it, so that targets must be failing for another reason too.
     */
    private fun isUnlikely(trait: RequestTrait, ofTrait: List<Crash>): Boolean {
        val isProven = ofTrait.any { trait in it.proven }
        val crashesSinceFirst = crashes.count { it.logicalTime >= ofTrait.first().logicalTime }
        return isProven || ofTrait.size * MAX_CRASHES_PER_OWN < crashesSinceFirst
    }

    private data class Suspect(val traits: Set<RequestTrait>, val crashes: List<Crash>, val isUnlikely: Boolean) {
        val requiredChain: Int = if (isUnlikely) REQUIRED_CHAIN_IF_UNLIKELY else REQUIRED_CHAIN
    }

    companion object {
        private const val NEVER = Long.MIN_VALUE

        /** One crash may be chance, and two may hit the retry of a request that is sound. */
        const val REQUIRED_CHAIN = 3

        /** Required of a trait that is unlikely to be the reason. */
        private const val REQUIRED_CHAIN_IF_UNLIKELY = 5

        /** A trait that is in fewer than one of so many crashes is unlikely to be the reason for them. */
        private const val MAX_CRASHES_PER_OWN = 4
    }
}
