package org.cicadaarch.configuration

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.cicadaarch.model.fleet.ServiceKind
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

class FleetDocumentParserTest {
    @Test
    fun `Given the examples, when they are parsed, then they have the sizes of the two fleets`() {
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
    @MethodSource("faults")
    fun `Given a document with one fault, when it is parsed, then the fault is named and nothing else`(case: Fault) {
        val text = case.edits.fold(SMALL) { text, (from, to) ->
            assertTrue(from in text, "the small document lacks \"$from\"")
            text.replaceFirst(from, to)
        }
        val errors = FleetDocumentParser.parse(text).leftOrNull().orEmpty()
        assertEquals(listOf(case.path to case.value), errors.map { it.path to it.value }, errors.joinToString("\n"))
        assertTrue(case.allowed in errors.single().allowed, errors.single().allowed)
        assertEquals(case.line, errors.single().line)
    }

    @Test
    fun `Given many faults of form and of meaning, when the document is parsed, then all are listed by line`() {
        val text = SMALL
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

    /** The small document with [edits] has one error, at [path] on [line]. */
    data class Fault(val path: String, val value: String?, val allowed: String, val line: Int?, val edits: List<Edit>)

    companion object {
        private const val SMALL_HASH = "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="

        private val PEAK_PRESET = """
            |  peak:
            |    admittedPriorities: [interactive]
            |    accountLimits: {grower: {requestBurst: 3}}
            |    loadMultiples: {model-a: 1.1}
            |
        """.trimMargin()

        private val SMALL = """
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

        private fun fault(path: String, value: String?, allowed: String, line: Int?, vararg edits: Edit) =
            Fault(path, value, allowed, line, edits.toList())

        @JvmStatic
        fun faults(): List<Fault> = faultsOfAccounts + faultsOfServices + faultsOfPresets

        private val faultsOfAccounts = listOf(
            fault(
                "regions.north",
                "[]",
                "at least one",
                2,
                "  north: [z-1, z-2]" to "  north: []\n  south: [z-1, z-2]",
            ),
            fault("regions.south.0", "z-1", "also listed in north", 3, "z-2]" to "z-2]\n  south: [z-1]"),
            fault("regions.north", "z-1", "a list", 2, "[z-1, z-2]" to "z-1\n  south: [z-1, z-2]"),
            fault("accounts.grower.weight", "0", "above 0", 5, "weight: 2" to "weight: 0"),
            fault("accounts.grower.weight", "2.5", "a whole number", 5, "weight: 2" to "weight: 2.5"),
            fault(
                "accounts.grower.credentials",
                null,
                "at least one",
                6,
                "\n      - {iterations: 10, salt: c2FsdA==, hash: $SMALL_HASH}" to " []",
            ),
            fault("accounts.grower.credentials.0.hash", "AAAA", "32 bytes", 7, SMALL_HASH to "AAAA"),
            fault("accounts.grower.credentials.0.salt", "?", "base64", 7, "c2FsdA==" to "\"?\""),
            fault("accounts.grower.credentials.0.iterations", "0", "above 0", 7, "iterations: 10" to "iterations: 0"),
            fault("accounts.grower.limits.requestsPerSecond", "-1.0", "above 0", 9, "2.5" to "-1"),
            fault("accounts.grower.limits.requestsPerSecond", "NaN", "a number", 9, "2.5" to "NaN"),
        )

        private val faultsOfServices = listOf(
            fault(
                "services.d esk",
                "d esk",
                "a name of",
                12,
                "  desk: " to "  d esk: ",
                "service: desk" to "service: d esk",
            ),
            fault("services.model-a.timeAllowed", "soon", "10s", 11, "1m 30s" to "soon"),
            fault("services.model-a.timeAllowed", "0s", "above 0s", 11, "1m 30s" to "0s"),
            fault("services.model-a.timeAllowed", "Infinity", "finite", 11, "1m 30s" to "Infinity"),
            fault("services.model-a.loadMultiple", "1.0", "above 1", 11, "1.5" to "1"),
            fault("services.desk.kind", "plane", "one of model, plain", 12, "plain" to "plane"),
            fault("services.idle", "idle", "at least one target", 13, "targets:" to "  idle: {kind: plain}\ntargets:"),
            fault(
                "targets.engine-2.service",
                "model-b",
                "one of model-a, desk",
                21,
                "  desk-1:" to
                    "  engine-2: {address: \"a:1\", zone: z-1, capacity: 1,\n    service: model-b}\n  desk-1:",
            ),
            fault("targets.engine-1.zone", "z-3", "one of z-1, z-2", 17, "zone: z-1" to "zone: z-3"),
            fault("targets.engine-1.address", "10.0.0.1", "host:port", 16, "10.0.0.1:80" to "10.0.0.1"),
            fault("targets.engine-1.address", "10.0.0.1:70000", "1 to 65535", 16, ".1:80" to ".1:70000"),
            fault("targets.desk-1.address", "10.0.0.1:80", "already used by engine-1", 22, "10.0.0.2" to "10.0.0.1"),
            fault("targets.desk-1.capacity", null, "a whole number", 20, "    capacity: 4\n" to ""),
            fault("targets.engine-1.checksFencing", "maybe", "true or false", 18, "true" to "maybe"),
        )

        private val faultsOfPresets = listOf(
            fault(
                "presets.frost",
                "frost",
                "ordinary, peak, maintenance",
                33,
                "  maintenance" to "  frost: {}\n  maintenance",
            ),
            fault("presets.peak", null, "ordinary, peak, maintenance", 25, PEAK_PRESET to ""),
            fault(
                "activePreset",
                "frost",
                "ordinary, peak, maintenance",
                34,
                "activePreset: ordinary" to "activePreset: frost",
            ),
            fault("presets.peak.admittedPriorities", "[]", "at least one", 30, "[interactive]" to "[]"),
            fault(
                "presets.peak.admittedPriorities.0",
                "urgent",
                "interactive, standard, batch",
                30,
                "[interactive]" to "[urgent, batch]",
            ),
            fault("presets.peak.accountLimits.picker", "picker", "one of grower", 31, "{grower:" to "{picker:"),
            fault("presets.peak.accountLimits.grower.requestBurst", "0", "above 0", 31, "Burst: 3" to "Burst: 0"),
            fault("presets.peak.loadMultiples.model-z", "model-z", "model-a, desk", 32, "{model-a:" to "{model-z:"),
            fault("presets.peak.loadMultiples.model-a", "0.5", "above 1", 32, "1.1}" to "0.5}"),
            fault(
                "presets.ordinary.wantedStates.desk-1",
                "desk-1",
                "one of engine-1",
                28,
                "engine-1: {" to "desk-1: {",
            ),
            fault("presets.ordinary.wantedStates.engine-1.version", null, "a string", 28, ", version: \"1\"" to ""),
            fault(
                "activePresent",
                "activePresent",
                "known keys",
                35,
                "activePreset: ordinary" to "activePreset: ordinary\nactivePresent: peak",
            ),
            fault(
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
