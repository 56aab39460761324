package org.cicadaarch.experiment.processes

import org.cicadaarch.model.AccountId
import org.cicadaarch.model.Idempotency
import org.cicadaarch.testkit.scenario.LoadKind

/**
 * What a caller wants done, over all its sends. [expectedAnswer] is the whole text that it should get.
 */
internal data class ScenarioRequest(
    val kind: LoadKind,
    val number: Int,
    val service: String,
    val account: AccountId,
    val idempotency: Idempotency,
    val body: String,
    val expectedAnswer: String,
)
