package org.cicadaarch.experiment.policy

/**
 * The workloads of the brief and a slice of the size aimed at.
 */
internal object Scenarios {
    private const val SECOND = MICROSECONDS_PER_SECOND
    private const val MILLISECOND = MICROSECONDS_PER_MILLISECOND

    val all: List<Scenario> by lazy {
        listOf(partnership(), partnershipSurge(), partnershipJoin(), partnershipSplit(), guild(), guildChurn(), aim())
    }

    private val partnershipEngine =
        EngineSetting(slots = 16, prefillRate = 8_000, decodeInterval = 20 * MILLISECOND, cacheTokens = 300_000)

    private val partnershipChats = ChatSetting(
        firstTokens = 900,
        addedTokens = 150,
        outputTokens = 150,
        meanTurns = 5.0,
        meanPause = 25 * SECOND,
    )

    private fun partnership() = Scenario(
        name = "partnership",
        engines = 6,
        engine = partnershipEngine,
        routers = 7,
        accounts = List(10) { AccountSetting(if (it < 3) 0.7 else 0.25) },
        chats = partnershipChats,
        timeAllowed = 10 * SECOND,
        duration = 360 * SECOND,
    )

    private fun partnershipSurge() = partnership().copy(
        name = "frost-night",
        accounts = List(10) { account ->
            if (account < 2) AccountSetting(0.55, 10.0, 150 * SECOND, 300 * SECOND) else AccountSetting(0.25)
        },
    )

    private fun partnershipJoin() = partnership().copy(
        name = "partnership-join",
        churn = listOf(Churn.Join(150 * SECOND), Churn.Leave(250 * SECOND, engine = 2)),
    )

    private fun partnershipSplit() = partnershipSurge().copy(
        name = "frost-split",
        churn = List(7) { Churn.ViewSplit((180L + 15 * it) * SECOND, until = (190L + 15 * it) * SECOND, router = it) },
    )

    private fun guild() = Scenario(
        name = "guild",
        engines = 12,
        engine = EngineSetting(
            slots = 12,
            prefillRate = 6_000,
            decodeInterval = 25 * MILLISECOND,
            cacheTokens = 250_000,
        ),
        routers = 7,
        accounts = List(10) { AccountSetting(if (it < 3) 0.5 else 0.2) },
        chats = ChatSetting(
            firstTokens = 3_000,
            addedTokens = 400,
            outputTokens = 120,
            meanTurns = 8.0,
            meanPause = 40 * SECOND,
        ),
        timeAllowed = 10 * SECOND,
        duration = 600 * SECOND,
    )

    private fun guildChurn() = guild().copy(
        name = "guild-churn",
        churn = listOf(
            Churn.Join(260 * SECOND),
            Churn.Leave(320 * SECOND, engine = 2),
            Churn.Crash(380 * SECOND, engine = 5, restartAfter = null),
            Churn.Crash(430 * SECOND, engine = 7, restartAfter = 8 * SECOND),
            Churn.Crash(450 * SECOND, engine = 7, restartAfter = 8 * SECOND),
            Churn.Crash(470 * SECOND, engine = 7, restartAfter = 8 * SECOND),
            Churn.ViewSplit(500 * SECOND, until = 505 * SECOND, router = 3),
            Churn.RouterLost(530 * SECOND, router = 1),
        ),
    )

    private fun aim() = Scenario(
        name = "aim-slice",
        engines = 90,
        engine = EngineSetting(
            slots = 128,
            prefillRate = 40_000,
            decodeInterval = 30 * MILLISECOND,
            cacheTokens = 1_500_000,
        ),
        routers = 360,
        accounts = List(40) { AccountSetting(if (it < 4) 15.0 else 4.7) },
        chats = ChatSetting(
            firstTokens = 1_200,
            addedTokens = 200,
            outputTokens = 380,
            meanTurns = 6.0,
            meanPause = 20 * SECOND,
        ),
        timeAllowed = 5 * SECOND,
        duration = 90 * SECOND,
    )
}
