package org.cicadaarch.experiment.policy

/**
 * A workload on one service: engines, accounts with their chats, callers' routers and churn. Times in microseconds.
 */
internal data class Scenario(
    val name: String,
    val engines: Int,
    val engine: EngineSetting,
    val routers: Int,
    val accounts: List<AccountSetting>,
    val chats: ChatSetting,
    val timeAllowed: Long,
    val duration: Long,
    val churn: List<Churn> = emptyList(),
    val loadMultiple: Double = 1.25,
) {
    /** Measures begin here, when chats return and caches are filled. */
    val measuredFrom: Long get() = duration / 3
}

/** Sizes of an engine: [prefillRate] in tokens a second, [decodeInterval] in microseconds per token. */
internal data class EngineSetting(
    val slots: Int,
    val prefillRate: Long,
    val decodeInterval: Long,
    val cacheTokens: Long,
)

/** New chats of an account per second, multiplied by [surge] between the surge times. */
internal data class AccountSetting(
    val chatsPerSecond: Double,
    val surge: Double = 1.0,
    val surgeFrom: Long = 0,
    val surgeUntil: Long = 0,
) {
    val quiet: Boolean get() = surge == 1.0
}

/** Sizes of chats; prompts grow by the previous output and [addedTokens] each turn. */
internal data class ChatSetting(
    val firstTokens: Int,
    val addedTokens: Int,
    val outputTokens: Int,
    val meanTurns: Double,
    val meanPause: Long,
)

/** A change of the fleet at [at]. */
internal sealed class Churn {
    abstract val at: Long

    data class Join(override val at: Long) : Churn()

    data class Leave(override val at: Long, val engine: Int) : Churn()

    data class Crash(override val at: Long, val engine: Int, val restartAfter: Long?) : Churn()

    /** From [at] to [until] every second router takes [router] for dead. */
    data class ViewSplit(override val at: Long, val until: Long, val router: Int) : Churn()

    /** The process of [router] ends; the others notice within two seconds. */
    data class RouterLost(override val at: Long, val router: Int) : Churn()
}
