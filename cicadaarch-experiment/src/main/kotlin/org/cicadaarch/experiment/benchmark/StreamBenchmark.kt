package org.cicadaarch.experiment.benchmark

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.HdrHistogram.ConcurrentHistogram
import org.cicadaarch.experiment.Experiment

/**
 * Sends the same streamed chat requests to a target directly and through one router, in turn, and prints both side by
 * side: throughput, time to the first byte, and the difference.
 */
internal class StreamBenchmark : Experiment {
    override val name: String = "benchmark"
    override val summary: String = "compares streaming through a running router with the same target called directly"

    override fun run(arguments: List<String>): Int {
        val parser = ArgParser("experiment $name")
        val direct by parser.option(ArgType.String, "direct", description = "Address of the engine")
            .default("127.0.0.1:18101")
        val router by parser.option(ArgType.String, "router", description = "Caller address of the router")
            .default("127.0.0.1:17001")
        val model by parser.option(ArgType.String, "model", description = "Model in the requests").default("hire-model")
        val account by parser.option(ArgType.String, "account", description = "Client account")
            .default("teme-valley-nets")
        val secret by parser.option(ArgType.String, "secret", description = "The account's secret")
            .default("teme-valley-nets-secret")
        val requests by parser.option(ArgType.Int, "requests", description = "Requests of each round").default(REQUESTS)
        val concurrency by parser.option(
            ArgType.Int,
            "concurrency",
            description = "Requests at once",
        ).default(CONCURRENCY)
        val rounds by parser.option(ArgType.Int, "rounds", description = "Rounds; the first warms up").default(ROUNDS)
        val tokens by parser.option(ArgType.Int, "tokens", description = "Tokens of each answer").default(TOKENS)
        parser.parse(arguments.toTypedArray())
        println(
            "%-8s %-8s %10s %12s %12s %12s %8s".format(
                "round",
                "path",
                "requests/s",
                "p50 us",
                "p99 us",
                "max us",
                "failed",
            ),
        )
        var failed = 0
        repeat(rounds) { round ->
            val directly = Load(direct, model, "$account:$secret", concurrency, tokens).run(requests)
            directly.print(round, "direct")
            val routed = Load(router, model, "$account:$secret", concurrency, tokens).run(requests)
            routed.print(round, "router")
            println(
                "%-8d %-8s %10.2f %12d %12d".format(
                    round,
                    "ratio",
                    routed.throughput / directly.throughput,
                    routed.percentile(MEDIAN) - directly.percentile(MEDIAN),
                    routed.percentile(TAIL) - directly.percentile(TAIL),
                ),
            )
            failed += directly.failed + routed.failed
        }
        return if (failed == 0) 0 else 1
    }

    /** One round of requests against [address]. */
    private class Load(
        private val address: String,
        private val model: String,
        private val token: String,
        private val concurrency: Int,
        private val tokens: Int,
    ) {
        private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
        private val permits = Semaphore(concurrency)
        private val firstBytes = ConcurrentHistogram(SIGNIFICANT_DIGITS)
        private val failures = AtomicInteger()
        private val sequence = AtomicLong()

        fun run(requests: Int): Result {
            val begun = System.nanoTime()
            repeat(requests) {
                permits.acquire()
                send().whenComplete { _, _ -> permits.release() }
            }
            permits.acquire(concurrency)
            val seconds = (System.nanoTime() - begun) / NANOSECONDS_PER_SECOND
            return Result(requests / seconds, firstBytes, failures.get())
        }

        private fun send(): CompletableFuture<*> {
            val number = sequence.incrementAndGet()
            val body = """{"model":"$model","stream":true,"max_tokens":$tokens,""" +
                """"messages":[{"role":"user","content":"question $number"}]}"""
            val request = HttpRequest.newBuilder(URI.create("http://$address/v1/chat/completions"))
                .header("authorization", "Bearer $token")
                .header("content-type", "application/json")
                .timeout(Duration.ofSeconds(TIMEOUT_SECONDS))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build()
            val begun = System.nanoTime()
            return client.sendAsync(request) { info ->
                firstBytes.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - begun))
                if (info.statusCode() != STATUS_OK) failures.incrementAndGet()
                HttpResponse.BodySubscribers.ofString(Charsets.UTF_8)
            }.whenComplete { response, failure ->
                if (failure != null || "[DONE]" !in response.body()) failures.incrementAndGet()
            }
        }
    }

    private class Result(val throughput: Double, private val firstBytes: ConcurrentHistogram, val failed: Int) {
        fun percentile(value: Double): Long = firstBytes.getValueAtPercentile(value)

        fun print(round: Int, path: String) = println(
            "%-8d %-8s %10.0f %12d %12d %12d %8d".format(
                round,
                path,
                throughput,
                percentile(MEDIAN),
                percentile(TAIL),
                firstBytes.maxValue,
                failed,
            ),
        )
    }

    private companion object {
        const val REQUESTS = 20_000
        const val CONCURRENCY = 64
        const val ROUNDS = 4
        const val TOKENS = 4
        const val TIMEOUT_SECONDS = 20L
        const val SIGNIFICANT_DIGITS = 3
        const val STATUS_OK = 200
        const val MEDIAN = 50.0
        const val TAIL = 99.0
        const val NANOSECONDS_PER_SECOND = 1e9
    }
}
