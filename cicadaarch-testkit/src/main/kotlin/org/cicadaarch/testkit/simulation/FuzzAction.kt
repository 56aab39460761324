package org.cicadaarch.testkit.simulation

/**
 * One kind of step of a [FuzzRun], taken with a probability in proportion to [weight].
 */
enum class FuzzAction(val weight: Int, val change: (FuzzRun) -> Unit) {
    REQUEST(weight = 8, change = FuzzRun::request),
    KEYED_REQUEST(weight = 4, change = FuzzRun::keyedRequest),
    CRASHING_REQUEST(weight = 1, change = FuzzRun::crashingRequest),
    STORE_OUTAGE(weight = 1, change = FuzzRun::storeOutage),
    LOSE_STORE_ANSWERS(weight = 1, change = FuzzRun::loseStoreAnswers),
    CRASH_TARGET(weight = 1, change = FuzzRun::crashTarget),
    KILL_ROUTER(weight = 1, change = FuzzRun::killRouter),
    FREEZE_ROUTER(weight = 1, change = FuzzRun::freezeRouter),
    CUT(weight = 1, change = FuzzRun::cut),
    SILENCE_CONNECTIONS(weight = 1, change = FuzzRun::silence),
    DISAGREE(weight = 1, change = FuzzRun::disagree),
    TARGET_LEAVES(weight = 1, change = FuzzRun::targetLeaves),
}
