package org.cicadaarch.experiment.processes

import kotlin.random.Random
import org.cicadaarch.experiment.demonstration.ChatBody
import org.cicadaarch.experiment.demonstration.Deployment
import org.cicadaarch.model.Idempotency
import org.cicadaarch.model.IdempotencyKey
import org.cicadaarch.testkit.AnswerText
import org.cicadaarch.testkit.BodyHash
import org.cicadaarch.testkit.scenario.LoadKind

/**
 * Makes the requests of a scenario, each with a body of its own. Request number 7 of its kind carries `request-0007`.
 *
 * Idempotent calls go to the last deployment's plain service and calls without a key to the first's, so that a run
 * without a key shows which of the two it is.
 */
internal class ScenarioRequests(private val deployments: List<Deployment>) {
    private val counts = mutableMapOf<LoadKind, Int>()

    /** The next request of [kind]. */
    fun next(kind: LoadKind, random: Random): ScenarioRequest {
        val number = counts.merge(kind, 1, Int::plus) ?: 1
        return when (kind) {
            LoadKind.CHATS -> chat(number, deployments[number % deployments.size], random)
            LoadKind.CALLS -> call(kind, number, deployments.last(), Idempotency.Idempotent, random)
            LoadKind.KEYLESS_CALLS -> call(kind, number, deployments.first(), Idempotency.Keyless, random)
            LoadKind.KEYED_CALLS -> call(kind, number, deployments[number % deployments.size], keyed(number), random)
        }
    }

    private fun keyed(number: Int): Idempotency = Idempotency.Keyed(IdempotencyKey("scenario-$number"))

    private fun chat(number: Int, deployment: Deployment, random: Random): ScenarioRequest {
        val words = (1..PROMPT_WORDS).joinToString(separator = " ") { random.nextInt(WORD_RANGE).toString(radix = 36) }
        val body = ChatBody.of(deployment.model, listOf("user" to "${text(number)} $words"), OUTPUT_TOKENS)
        return ScenarioRequest(
            kind = LoadKind.CHATS,
            number = number,
            service = deployment.model,
            account = deployment.account(random),
            idempotency = Idempotency.Idempotent,
            body = body,
            expectedAnswer = AnswerText.text(body, until = OUTPUT_TOKENS),
        )
    }

    private fun call(
        kind: LoadKind,
        number: Int,
        deployment: Deployment,
        idempotency: Idempotency,
        random: Random,
    ): ScenarioRequest {
        val body = """{"${kind.label}":"${text(number)}"}"""
        return ScenarioRequest(
            kind = kind,
            number = number,
            service = deployment.plainService,
            account = deployment.account(random),
            idempotency = idempotency,
            body = body,
            expectedAnswer = expectedText(deployment.plainService, BodyHash.of(body)),
        )
    }

    private fun text(number: Int): String = "request-%04d".format(number)

    companion object {
        /** The path below a plain service that all calls go to. */
        const val PATH = "/bookings"

        private const val PROMPT_WORDS = 100
        private const val OUTPUT_TOKENS = 40
        private const val WORD_RANGE = 1_000_000

        /** What [service] answers to the body with [bodyHash], as callers compare it. */
        fun expectedText(service: String, bodyHash: String): String = "$service $bodyHash"
    }
}
