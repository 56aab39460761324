package org.cicadaarch.configuration

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.cicadaarch.model.fleet.ServiceKind
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

class FleetDocumentParserTest {
    @Test
    fun `Given the examples, when they are parsed, then they have the expected zones, targets and accounts`() {
        val sizes = listOf(ExampleDocuments.hireDesk, ExampleDocuments.gridSetters).map { document ->
            val kinds = document.targets.values.groupingBy { document.services.getValue(it.service).kind }.eachCount()
            listOf(
                document.regions.values.flatten().size,
                kinds[ServiceKind.MODEL],
                kinds[ServiceKind.PLAIN],
                document.accounts.size,
            )
        }
        assertEquals(listOf(listOf(4, 6, 4, 10), listOf(3, 12, 3, 10)), sizes)
    }

    @ParameterizedTest
    @MethodSource("errorCases")
    fun `Given a document with one error, when it is parsed, then only this error is reported`(
        case: DocumentErrorCase,
    ) {
        val text = case.edits.fold(BASE) { text, (from, to) ->
            assertTrue(from in text, "the base document does not contain \"$from\"")
            text.replaceFirst(from, to)
        }
        val errors = FleetDocumentParser.parse(text).leftOrNull().orEmpty()
        assertEquals(listOf(case.path to case.value), errors.map { it.path to it.value }, errors.joinToString("\n"))
        assertTrue(case.allowed in errors.single().allowed, errors.single().allowed)
        assertEquals(case.line, errors.single().line)
    }

    @Test
    fun `Given structural and semantic errors, when the document is parsed, then all are listed by line`() {
        val text = BASE
            .replace("weight: 2", "weight: heavy")
            .replace("zone: z-2", "zone: z-9")
            .replace("capacity: 8", "capacity: 0\n    speed: 4")
            .replace("activePreset: ordinary", "activePreset: frosty")
        val errors = FleetDocumentParser.parse(text).leftOrNull().orEmpty()
        assertEquals(
            listOf(
                "accounts.grower.weight (line 5): found \"heavy\"; allowed: a whole number",
                "targets.engine-1.capacity (line 19): found \"0\"; allowed: a whole number above 0",
                "targets.engine-1.speed (line 20): found \"speed\"; allowed: only the known keys: address, " +
                    "capacity, checksFencing, deduplicates, exportsCache, leaving, resumesStreams, service, zone",
                "targets.desk-1.zone (line 25): found \"z-9\"; allowed: one of z-1, z-2",
                "activePreset (line 35): found \"frosty\"; allowed: one of ordinary, peak, maintenance",
            ),
            errors.map { it.toString() },
        )
    }

    /** The base document with [edits] applied has one error, at [path] on [line]. */
    data class DocumentErrorCase(
        val path: String,
        val value: String?,
        val allowed: String,
        val line: Int?,
        val edits: List<Edit>,
    )

    companion object {
        private const val SMALL_HASH = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="

        private val PEAK_PRESET = """
            |  peak:
            |    admittedPriorities: [interactive]
            |    accountLimits: {grower: {requestBurst: 3}}
            |    loadMultiples: {model-a: 1.1}
            |
        """.trimMargin()

        private val BASE = """
            |regions:
            |  north: [z-1, z-2]
            |accounts:
            |  grower:
            |    weight: 2
            |    credentials:
            |      - {iterations: 10, salt: c2FsdA==, hash: $SMALL_HASH}
            |    limits:
            |      requestsPerSecond: 2.5
            |services:
            |  model-a: {kind: model, timeAllowed: 1m 30s, loadMultiple: 1.5}
            |  desk: {kind: plain}
            |targets:
            |  engine-1:
            |    service: model-a
            |    address: 10.0.0.1:80
            |    zone: z-1
            |    checksFencing: true
            |    capacity: 8
            |  desk-1:
            |    service: desk
            |    address: 10.0.0.2:80
            |    capacity: 4
            |    zone: z-2
            |presets:
            |  ordinary:
            |    wantedStates:
            |      engine-1: {model: a, version: "1"}
            |  peak:
            |    admittedPriorities: [interactive]
            |    accountLimits: {grower: {requestBurst: 3}}
            |    loadMultiples: {model-a: 1.1}
            |  maintenance: {}
            |activePreset: ordinary
        """.trimMargin()

        private fun errorCase(path: String, value: String?, allowed: String, line: Int?, vararg edits: Edit) =
            DocumentErrorCase(path, value, allowed, line, edits.toList())

        @JvmStatic
        fun errorCases(): List<DocumentErrorCase> = accountErrors + serviceErrors + presetErrors

        private val accountErrors = listOf(
            errorCase(
                "regions.north",
                "[]",
                "at least one",
                2,
                "  north: [z-1, z-2]" to "  north: []\n  south: [z-1, z-2]",
            ),
            errorCase("regions.south.0", "z-1", "also listed in north", 3, "z-2]" to "z-2]\n  south: [z-1]"),
            errorCase("regions.north", "z-1", "a list", 2, "[z-1, z-2]" to "z-1\n  south: [z-1, z-2]"),
            errorCase("accounts.grower.weight", "0", "above 0", 5, "weight: 2" to "weight: 0"),
            errorCase("accounts.grower.weight", "2.5", "a whole number", 5, "weight: 2" to "weight: 2.5"),
            errorCase(
                "accounts.grower.credentials",
                null,
                "at least one",
                6,
                "\n      - {iterations: 10, salt: c2FsdA==, hash: $SMALL_HASH}" to " []",
            ),
            errorCase("accounts.grower.credentials.0.hash", "AAAA", "32 bytes", 7, SMALL_HASH to "AAAA"),
            errorCase("accounts.grower.credentials.0.salt", "?", "base64", 7, "c2FsdA==" to "\"?\""),
            errorCase(
                "accounts.grower.credentials.0.iterations",
                "0",
                "above 0",
                7,
                "iterations: 10" to "iterations: 0",
            ),
            errorCase("accounts.grower.limits.requestsPerSecond", "-1.0", "above 0", 9, "2.5" to "-1"),
            errorCase("accounts.grower.limits.requestsPerSecond", "NaN", "a number", 9, "2.5" to "NaN"),
        )

        private val serviceErrors = listOf(
            errorCase(
                "services.d esk",
                "d esk",
                "a name of",
                12,
                "  desk: " to "  d esk: ",
                "service: desk" to "service: d esk",
            ),
            errorCase("services.model-a.timeAllowed", "soon", "10s", 11, "1m 30s" to "soon"),
            errorCase("services.model-a.timeAllowed", "0s", "above 0s", 11, "1m 30s" to "0s"),
            errorCase("services.model-a.timeAllowed", "Infinity", "finite", 11, "1m 30s" to "Infinity"),
            errorCase("services.model-a.loadMultiple", "1.0", "above 1", 11, "1.5" to "1"),
            errorCase("services.desk.kind", "plane", "one of model, plain", 12, "plain" to "plane"),
            errorCase(
                "services.idle",
                "idle",
                "at least one target",
                13,
                "targets:" to "  idle: {kind: plain}\ntargets:",
            ),
            errorCase(
                "targets.engine-2.service",
                "model-b",
                "one of model-a, desk",
                21,
                "  desk-1:" to
                    "  engine-2: {address: \"a:1\", zone: z-1, capacity: 1,\n    service: model-b}\n  desk-1:",
            ),
            errorCase("targets.engine-1.zone", "z-3", "one of z-1, z-2", 17, "zone: z-1" to "zone: z-3"),
            errorCase("targets.engine-1.address", "10.0.0.1", "host:port", 16, "10.0.0.1:80" to "10.0.0.1"),
            errorCase("targets.engine-1.address", "10.0.0.1:70000", "1 to 65535", 16, ".1:80" to ".1:70000"),
            errorCase(
                "targets.desk-1.address",
                "10.0.0.1:80",
                "already used by engine-1",
                22,
                "10.0.0.2" to "10.0.0.1",
            ),
            errorCase("targets.desk-1.capacity", null, "a whole number", 20, "    capacity: 4\n" to ""),
            errorCase("targets.engine-1.checksFencing", "maybe", "true or false", 18, "true" to "maybe"),
        )

        private val presetErrors = listOf(
            errorCase(
                "presets.frost",
                "frost",
                "ordinary, peak, maintenance",
                33,
                "  maintenance" to "  frost: {}\n  maintenance",
            ),
            errorCase("presets.peak", null, "ordinary, peak, maintenance", 25, PEAK_PRESET to ""),
            errorCase(
                "activePreset",
                "frost",
                "ordinary, peak, maintenance",
                34,
                "activePreset: ordinary" to "activePreset: frost",
            ),
            errorCase("presets.peak.admittedPriorities", "[]", "at least one", 30, "[interactive]" to "[]"),
            errorCase(
                "presets.peak.admittedPriorities.0",
                "urgent",
                "interactive, standard, batch",
                30,
                "[interactive]" to "[urgent, batch]",
            ),
            errorCase("presets.peak.accountLimits.picker", "picker", "one of grower", 31, "{grower:" to "{picker:"),
            errorCase("presets.peak.accountLimits.grower.requestBurst", "0", "above 0", 31, "Burst: 3" to "Burst: 0"),
            errorCase("presets.peak.loadMultiples.model-z", "model-z", "model-a, desk", 32, "{model-a:" to "{model-z:"),
            errorCase("presets.peak.loadMultiples.model-a", "0.5", "above 1", 32, "1.1}" to "0.5}"),
            errorCase(
                "presets.ordinary.wantedStates.desk-1",
                "desk-1",
                "one of engine-1",
                28,
                "engine-1: {" to "desk-1: {",
            ),
            errorCase("presets.ordinary.wantedStates.engine-1.version", null, "a string", 28, ", version: \"1\"" to ""),
            errorCase(
                "activePresent",
                "activePresent",
                "known keys",
                35,
                "activePreset: ordinary" to "activePreset: ordinary\nactivePresent: peak",
            ),
            errorCase(
                "targets.desk-1",
                "Duplicate key 'desk-1'. It was previously given at line 20, column 3.",
                "unique keys",
                21,
                "  desk-1:" to "  desk-1: {}\n  desk-1:",
            ),
        )
    }
}

private typealias Edit = Pair<String, String>
