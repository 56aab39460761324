package org.cicadaarch.experiment.processes

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlinx.serialization.json.Json
import org.cicadaarch.experiment.demonstration.CallerAnswer
import org.cicadaarch.experiment.demonstration.CallerClient
import org.cicadaarch.model.Idempotency
import org.cicadaarch.model.Outcome
import org.cicadaarch.testkit.PlainAnswer
import org.cicadaarch.testkit.scenario.LoadKind
import org.cicadaarch.testkit.scenario.ScenarioAction

/**
 * The callers of a scenario, behind [balancer].
 *
 * A caller that may repeat its request sends it again, through any ready router, until it is told `completed` or
 * `already-run`, at most [MOST_SENDS] times. A caller of a request without a key that may run at most once sends again
 * only after `not-run` or when no connection came about, since nobody could tell a resend from a second request.
 */
internal class ScenarioCallers(
    private val requests: ScenarioRequests,
    private val routers: RouterProcesses,
    private val balancer: Balancer,
    seed: Long,
) : AutoCloseable {
    private val client = CallerClient()
    private val random = Random(seed)
    private val timer = Executors.newSingleThreadScheduledExecutor { Thread(it).apply { isDaemon = true } }
    private val threads = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
    private val open = ConcurrentHashMap<ScenarioRequest, ScenarioOperation>()

    /** The operations so far, over or not. */
    val operations: List<ScenarioOperation> get() = open.values.toList()

    /** Sends the requests of [load], spread evenly over its time. */
    fun start(load: ScenarioAction.Load) {
        val interval = load.duration / load.count
        repeat(load.count) { index ->
            val request = requests.next(load.kind, random)
            val choices = Random(random.nextLong())
            open[request] = ScenarioOperation(request, sends = emptyList(), isOver = false)
            timer.schedule(
                { threads.execute { run(request, choices) } },
                (interval * index).inWholeMicroseconds,
                TimeUnit.MICROSECONDS,
            )
        }
    }

    /** Waits until all operations are over, or [seconds] have passed. */
    fun await(seconds: Long) {
        val deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds)
        while (operations.any { !it.isOver } && System.nanoTime() < deadline) Thread.sleep(POLL_MILLISECONDS)
    }

    override fun close() {
        timer.shutdownNow()
        threads.shutdownNow()
    }

    private fun run(request: ScenarioRequest, random: Random) {
        repeat(MOST_SENDS) { number ->
            if (number > 0) Thread.sleep(RESEND_PAUSE_MILLISECONDS)
            val send = send(request, balancer.choose(random))
            val operation = open.getValue(request)
            val isOver = number == MOST_SENDS - 1 || !isSentAgain(request, send.answer)
            open[request] = operation.copy(sends = operation.sends + send, isOver = isOver)
            if (isOver) return
        }
    }

    private fun isSentAgain(request: ScenarioRequest, answer: CallerAnswer): Boolean = when (answer.outcome) {
        Outcome.COMPLETED, Outcome.ALREADY_RUN -> false
        Outcome.NOT_RUN -> true
        Outcome.MAY_HAVE_RUN -> request.idempotency != Idempotency.Keyless
        null -> request.idempotency != Idempotency.Keyless || !answer.isSent
    }

    private fun send(request: ScenarioRequest, router: Int): Send {
        val begun = System.nanoTime()
        val address = routers.callerAddress(router)
        val answer = when (request.kind) {
            LoadKind.CHATS -> client.chat(address, request.account, "chat-${request.number}", turn = 1, request.body)
            else -> call(request, address)
        }
        return Send(answer, isExcused = !answer.isSent || routers.hadFaultAfter(router, begun))
    }

    private fun call(request: ScenarioRequest, address: String): CallerAnswer {
        val path = "/services/${request.service}${ScenarioRequests.PATH}"
        val answer = client.call(address, request.account, path, request.idempotency, request.body)
        return answer.copy(text = withoutRunNumber(answer.text))
    }

    // The run's number is the service's own and can't be foretold.
    private fun withoutRunNumber(text: String): String = runCatching { Json.decodeFromString<PlainAnswer>(text) }
        .fold(onSuccess = { ScenarioRequests.expectedText(it.service, it.bodyHash) }, onFailure = { text })

    private companion object {
        const val MOST_SENDS = 8
        const val RESEND_PAUSE_MILLISECONDS = 300L
        const val POLL_MILLISECONDS = 50L
    }
}
