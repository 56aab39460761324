package org.cicadaarch.dispatch.quarantine

/**
 * The keys at which routers keep [CrashRecord]s, without the prefix that they have in the store.
 */
internal object RecordKeys {
    /** Keeps keys within the length that stores allow. */
    private const val MAX_NAME_LENGTH = 60

    fun report(process: TargetProcess, router: String): String =
        "report/${shortened(process.target.value)}@${process.startedAtMillis}/${shortened(router)}"

    fun clearance(router: String): String = "clearance/${shortened(router)}"

    /** The key of [trial], the same on all routers. */
    fun trial(trial: CrashRecord.Trial): String {
        val traits = trial.traits.sorted().joinToString(separator = ",").hashCode().toUInt()
        return "trial/$traits-${trial.number}"
    }

    /** Whether [router] wrote the record at [key]. */
    fun isOwn(key: String, router: String): Boolean = key.endsWith("/${shortened(router)}")

    private fun shortened(name: String): String =
        if (name.length <= MAX_NAME_LENGTH) name else name.take(MAX_NAME_LENGTH) + name.hashCode().toUInt()
}
