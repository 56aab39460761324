package org.cicadaarch.experiment.demonstration

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.Idempotency
import org.cicadaarch.model.IdempotencyKey
import org.cicadaarch.model.Outcome
import org.cicadaarch.testkit.AnswerText

/**
 * The callers of the demonstration: users who return to their chats after pauses, and bookings between turns.
 *
 * A caller whose connection breaks, or who is told `not-run`, sends again through another router, as behind a balancer.
 */
internal class Callers(private val deployments: List<Deployment>, private val routers: () -> List<String>, seed: Long) {
    private val client = CallerClient()
    private val random = Random(seed)
    private val threads = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
    private val open = AtomicInteger()

    /** The operations that ended. */
    val ended: ConcurrentLinkedQueue<Operation> = ConcurrentLinkedQueue()

    /** The operations under way. */
    val openOperations: Int get() = open.get()

    /** Starts [chats] users who send [turns] turns each, spread over [pauseMilliseconds] on average between turns. */
    fun start(chats: Int, turns: Int, pauseMilliseconds: Long) {
        repeat(chats) { number ->
            val choices = Random(random.nextLong())
            threads.execute { User(number, choices).run(turns, pauseMilliseconds) }
        }
        threads.shutdown()
    }

    /** Waits until all users have done; returns false when [seconds] were not enough. */
    fun await(seconds: Long): Boolean = threads.awaitTermination(seconds, TimeUnit.SECONDS)

    private inner class User(private val number: Int, private val random: Random) {
        private val deployment = deployments[number % deployments.size]
        private val account = deployment.account(random)
        private val messages = mutableListOf<Pair<String, String>>()

        fun run(turns: Int, pauseMilliseconds: Long) {
            Thread.sleep(random.nextLong(pauseMilliseconds))
            for (turn in 1..turns) {
                finish { chatTurn(turn) }
                if (turn % TURNS_PER_BOOKING == 0) finish { booking(turn) }
                Thread.sleep(random.nextLong(pauseMilliseconds / 2, pauseMilliseconds * 3 / 2))
            }
        }

        private fun finish(operation: () -> Operation) {
            open.incrementAndGet()
            ended += operation()
            open.decrementAndGet()
        }

        private fun chatTurn(turn: Int): Operation {
            messages += "user" to words(if (turn == 1) FIRST_PROMPT_WORDS else LATER_PROMPT_WORDS)
            val body = body()
            val expected = AnswerText.text(body, until = OUTPUT_TOKENS)
            val (answer, sends) = untilRun { address -> client.chat(address, account, "chat-$number", turn, body) }
            if (answer.outcome == Outcome.COMPLETED) messages += "assistant" to answer.text
            return Operation(
                kind = OperationKind.CHAT,
                account = account,
                key = null,
                sends = sends,
                outcome = answer.outcome,
                isWhole = answer.text == expected,
                firstByteMilliseconds = answer.firstByteMilliseconds,
                promptTokens = answer.promptTokens,
                cachedTokens = answer.cachedTokens,
                isReturning = turn > 1,
            )
        }

        private fun booking(turn: Int): Operation {
            val key = "booking-$number-$turn"
            val path = "/services/${deployment.plainService}/bookings"
            val (answer, sends) = untilRun { address ->
                client.call(address, account, path, Idempotency.Keyed(IdempotencyKey(key)), """{"booking":"$key"}""")
            }
            return Operation(
                kind = OperationKind.BOOKING,
                account = account,
                key = key,
                sends = sends,
                outcome = answer.outcome,
                isWhole = answer.outcome == Outcome.ALREADY_RUN || answer.text.contains("\"service\""),
                firstByteMilliseconds = answer.firstByteMilliseconds,
            )
        }

        private fun untilRun(send: (String) -> CallerAnswer): Pair<CallerAnswer, Int> {
            var answer = send(routers().random(random))
            var sends = 1
            while (sends < MOST_SENDS && (answer.outcome == null || answer.outcome == Outcome.NOT_RUN)) {
                Thread.sleep(RESEND_PAUSE_MILLISECONDS)
                answer = send(routers().random(random))
                sends++
            }
            return answer to sends
        }

        private fun body(): String = ChatBody.of(deployment.model, messages, OUTPUT_TOKENS)

        private fun words(count: Int): String =
            (1..count).joinToString(separator = " ") { random.nextInt(WORD_RANGE).toString(radix = 36) }
    }

    private companion object {
        const val OUTPUT_TOKENS = 24
        const val FIRST_PROMPT_WORDS = 400
        const val LATER_PROMPT_WORDS = 60
        const val WORD_RANGE = 1_000_000
        const val TURNS_PER_BOOKING = 2
        const val MOST_SENDS = 6
        const val RESEND_PAUSE_MILLISECONDS = 300L
    }
}
