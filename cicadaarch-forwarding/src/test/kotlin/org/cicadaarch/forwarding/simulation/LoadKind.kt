package org.cicadaarch.forwarding.simulation

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A kind of request: its [share] of all, the number of [prompts] that its requests have, and the mean time that a
 * target takes for one.
 */
internal data class LoadKind(val name: String, val share: Double, val prompts: Int, val meanRunTime: Duration) {
    companion object {
        /** As a guild of setters sends them. */
        val GUILD = listOf(
            LoadKind("review", share = 0.28, prompts = 465, meanRunTime = 1_200.milliseconds),
            LoadKind("polish", share = 0.2, prompts = 335, meanRunTime = 870.milliseconds),
            LoadKind("check", share = 0.52, prompts = 1_305, meanRunTime = 70.milliseconds),
        )

        /** As a hire desk sends them. */
        val DESK = listOf(
            LoadKind("contract", share = 0.26, prompts = 220, meanRunTime = 1_300.milliseconds),
            LoadKind("query", share = 0.31, prompts = 173, meanRunTime = 900.milliseconds),
            LoadKind("report", share = 0.43, prompts = 245, meanRunTime = 150.milliseconds),
        )
    }
}
