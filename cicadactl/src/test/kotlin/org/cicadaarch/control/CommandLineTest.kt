package org.cicadaarch.control

import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.io.path.writeText
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.cicadaarch.configuration.CredentialHasher
import org.cicadaarch.model.fleet.CredentialHash
import org.cicadaarch.testkit.StoreStandIn
import org.junit.jupiter.api.io.TempDir

class CommandLineTest {
    @TempDir
    lateinit var directory: Path
    private val store = StoreStandIn()
    private var otherRouterRevision = Long.MAX_VALUE
    private val router = OperatorsStandIn { target ->
        when (target) {
            "/status" -> statusJson()
            "/explain?account=avon-fruit-cover&service=hire-model&chat=frost+night" -> EXPLANATION
            "/drain" -> "{}"
            else -> null
        }
    }
    private val text = ByteArrayOutputStream()
    private val errors = ByteArrayOutputStream()

    @AfterTest
    fun close() {
        store.close()
        router.close()
    }

    @Test
    fun `Given an empty store, when a document is applied, shown, edited and switched, then each step is accepted`() {
        run(ExitCode.DONE, "validate", EXAMPLE)
        run(ExitCode.DONE, "apply", EXAMPLE)
        val shown = run(ExitCode.DONE, "show")
        val edited = file("edited.yaml", shown.replaceFirst("requestBurst: 20", "requestBurst: 25"))
        assertTrue("limits.requestBurst: 20 -> 25" in run(ExitCode.DONE, "diff", edited))
        assertTrue("in force on all 2 routers" in run(ExitCode.DONE, "apply", edited))
        assertTrue("activePreset: ordinary -> peak" in run(ExitCode.DONE, "preset", "switch", "peak"))
        run(ExitCode.DONE, "drain", "--target", "hire-engine-2")
        val last = run(ExitCode.DONE, "show")
        listOf("requestBurst: 25", "activePreset: peak", "leaving: true", "# changed by: tester")
            .forEach { assertTrue(it in last, "$it is not in\n$last") }
        assertTrue("leaving: true -> (absent)" in run(ExitCode.DONE, "drain", "--target", "hire-engine-2", "--cancel"))
    }

    @Test
    fun `Given logs of two routers, when a request is traced, then its lines come in order of time`() {
        val first = file("a.log", "time=2 event=attempt-sent request=r1\ntime=1 event=attempt-sent request=r12\n")
        val second = file("b.log", "time=1 event=request-refused request=r1\ntime=3 event=x other=request=r1\n")
        val lines = run(ExitCode.DONE, "trace", "r1", first, second).trim().lines()
        assertEquals(
            listOf("time=1 event=request-refused request=r1", "time=2 event=attempt-sent request=r1"),
            lines.take(2),
        )
        run(ExitCode.FAILED, "trace", "r9", first)
        run(ExitCode.USAGE, "trace", "r1", "missing.log")
    }

    @Test
    fun `Given two operators with one base, when both apply, then the second gets a conflict and no edit is lost`() {
        run(ExitCode.DONE, "apply", EXAMPLE)
        val shown = run(ExitCode.DONE, "show")
        val first = file("first.yaml", shown.replaceFirst("capacity: 32", "capacity: 40"))
        val second = file("second.yaml", shown.replaceFirst("timeAllowed: 2s", "timeAllowed: 3s"))
        run(ExitCode.DONE, "apply", first, "--author", "first-operator")
        val conflict = run(ExitCode.CONFLICT, "apply", second)
        listOf(
            "by first-operator:\n  targets.hire-engine-1.capacity: 32 -> 40\n",
            "your edit of revision 2:\n  services.ledger.timeAllowed: 2s -> 3s\n",
        ).forEach { assertTrue(it in conflict, "$it is not in\n$conflict") }
        assertTrue("capacity: 40" in run(ExitCode.DONE, "show"))
        assertTrue("timeAllowed: 3s" in Path.of(second).readText())
        run(ExitCode.USAGE, "apply", EXAMPLE)
        val json = Json.parseToJsonElement(run(ExitCode.CONFLICT, "apply", second, "--output", "json")).jsonObject
        assertEquals("first-operator", json.getValue("changedBy").jsonPrimitive.content)
    }

    @Test
    fun `Given a router on an older revision, when a document is applied, then the report names it`() {
        otherRouterRevision = 0
        val report = run(ExitCode.NOT_IN_FORCE, "apply", EXAMPLE, "--wait", "1")
        assertTrue("in force on 1 of 2 routers; not yet on router-b" in report, report)
    }

    @Test
    fun `Given one router, when its status, an explanation or a drain is requested, then it gets the request`() {
        val status = run(ExitCode.DONE, "status")
        assertTrue("target=hire-engine-1 running=3" in status, status)
        val chat = arrayOf("--account", "avon-fruit-cover", "--service", "hire-model", "--chat", "frost night")
        assertTrue("target=hire-engine-4 reason=home" in run(ExitCode.DONE, "explain", *chat))
        run(ExitCode.DONE, "drain", "--router", router.endpoint)
        assertEquals("POST /drain", router.requests.last())
    }

    @Test
    fun `Given a command that cannot succeed, when it runs, then its exit code states the reason`() {
        val invalid = file("invalid.yaml", Path.of(EXAMPLE).readText().replaceFirst("  hire-model:", "  hired-model:"))
        assertTrue("services.hired-model" in run(ExitCode.INVALID, "validate", invalid))
        run(ExitCode.INVALID, "apply", invalid)
        run(ExitCode.USAGE, "validate", directory.resolve("absent.yaml").toString())
        run(ExitCode.USAGE, "drain")
        run(ExitCode.USAGE, "hash-credential")
        run(ExitCode.FAILED, "show")
        run(ExitCode.FAILED, "explain", "--account", "nobody", "--service", "s", "--chat", "c")
        run(ExitCode.DONE, "apply", EXAMPLE)
        run(ExitCode.INVALID, "preset", "switch", "frost")
        run(ExitCode.FAILED, "drain", "--target", "hire-engine-99")
        run(ExitCode.UNREACHABLE, "status", "--operators", "127.0.0.1:1")
        run(ExitCode.USAGE, "status", "--operators", " ")
        run(ExitCode.FAILED, "status", "--operators", "not an address")
        OperatorsStandIn { "<html>" }.use { run(ExitCode.FAILED, "status", "--operators", it.endpoint) }
        store.close()
        run(ExitCode.UNREACHABLE, "show")
    }

    @Test
    fun `Given a secret on standard input, when it is hashed, then the credential matches it`() {
        val answer = run(ExitCode.DONE, "hash-credential", "--iterations", "5", "--output", "json", line = "my secret")
        val credential = Json.decodeFromString<CredentialHash>(answer)
        assertTrue(CredentialHasher.matches("my secret", credential))
    }

    private fun run(expected: ExitCode, vararg arguments: String, line: String? = null): String {
        text.reset()
        errors.reset()
        val environment = mapOf(
            "CICADAARCH_STORE" to "127.0.0.1:${store.port}",
            "CICADAARCH_OPERATORS" to router.endpoint,
            "CICADAARCH_AUTHOR" to "tester",
        )
        val exitCode = CommandLine(environment, PrintStream(text), PrintStream(errors)) { line }.run(arguments.toList())
        val output = text.toString() + errors.toString()
        assertEquals(expected, exitCode, output)
        return output
    }

    private fun file(name: String, content: String): String =
        directory.resolve(name).apply { writeText(content) }.toString()

    private fun statusJson(): String =
        """
        {"router":"router-a","revision":1000,"preset":"ordinary",
         "routers":[{"router":"router-b","revision":${otherRouterRevision.coerceAtMost(1000)},"leaving":false}],
         "targets":[{"target":"hire-engine-1","running":3}],"uptime":5}
        """

    private companion object {
        const val EXAMPLE = "../examples/hire-desk.yaml"
        const val EXPLANATION = """{"chat":"frost night","order":[{"target":"hire-engine-4","reason":"home"}]}"""
    }
}
