package org.cicadaarch.testkit.scenario

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import org.cicadaarch.testkit.StoreFault
import org.cicadaarch.testkit.TargetFault

/**
 * Reads the text form of scenarios: one step per line, with empty lines and comments after `#` skipped.
 *
 * ```
 * load chats 200 over 10s
 * at 2s kill router 3
 * at 9s engine 2 crash-on poison
 * expect lost 0
 * expect completed at-least 190
 * ```
 */
object ScenarioParser {
    /** Reads [text]; on failure, names every line that is wrong. */
    fun parse(text: String): Either<List<ScenarioError>, Scenario> {
        val builder = ScenarioBuilder()
        val errors = text.lines().mapIndexedNotNull { index, line -> builder.read(index + 1, line) }
        return if (errors.isEmpty()) builder.build().right() else errors.left()
    }

    private fun ScenarioBuilder.read(number: Int, line: String): ScenarioError? {
        val words = Words(line.substringBefore('#'))
        return Either
            .catchOrThrow<IllegalArgumentException, Unit> { if (!words.isOver) step(words) }
            .fold(ifLeft = { ScenarioError(number, line.trim(), it.message.orEmpty()) }, ifRight = { null })
    }

    private fun ScenarioBuilder.step(words: Words) {
        when (val first = words.next("a step")) {
            "at" -> {
                val time = words.duration()
                at(time, action(words.next("an action"), words).also { words.end() })
            }

            "load" -> at(Duration.ZERO, load(words).also { words.end() })

            "expect" -> expectation(words)

            else -> throw IllegalArgumentException("unknown step $first")
        }
        words.end()
    }

    private fun action(first: String, words: Words): ScenarioAction = when (first) {
        "kill" -> ScenarioAction.Kill(words.process())
        "freeze" -> ScenarioAction.Freeze(words.process())
        "resume" -> ScenarioAction.Resume(words.process())
        "stop" -> ScenarioAction.Stop(words.process())
        "start" -> ScenarioAction.Start(words.process())
        "preset" -> ScenarioAction.SwitchPreset(words.next("a preset"))
        "load" -> load(words)
        "store" -> ScenarioAction.FaultStore(storeFault(words))
        ProcessName.Kind.ENGINE.label -> targetFault(ProcessName.Kind.ENGINE, words)
        ProcessName.Kind.SERVICE.label -> targetFault(ProcessName.Kind.SERVICE, words)
        else -> throw IllegalArgumentException("unknown action $first")
    }

    private fun load(words: Words): ScenarioAction.Load {
        val kind = words.one(LoadKind.entries, "a kind of load") { it.label }
        val count = words.wholeNumber("a count")
        words.expect("over")
        return ScenarioAction.Load(kind, count, words.duration())
    }

    private fun storeFault(words: Words): StoreFault = when (val mode = words.next("a store fault")) {
        "up" -> StoreFault(StoreFault.Mode.UP)
        "down" -> StoreFault(StoreFault.Mode.DOWN)
        "slow" -> StoreFault(StoreFault.Mode.SLOW, words.duration().inWholeMilliseconds)
        "lose-answers" -> StoreFault(StoreFault.Mode.LOSE_ANSWERS)
        else -> throw IllegalArgumentException("unknown store fault $mode")
    }

    private fun targetFault(kind: ProcessName.Kind, words: Words): ScenarioAction {
        val process = ProcessName(kind, words.wholeNumber("a number"))
        val fault = when (val mode = words.next("a target fault")) {
            "normal" -> TargetFault(TargetFault.Mode.NORMAL)
            "silent" -> TargetFault(TargetFault.Mode.SILENT)
            "crash-on" -> TargetFault(TargetFault.Mode.CRASH_ON, text = words.rest())
            "slow" -> TargetFault(TargetFault.Mode.SLOW, factor = words.figure())
            else -> throw IllegalArgumentException("unknown target fault $mode")
        }
        return ScenarioAction.FaultTarget(process, fault)
    }

    private fun ScenarioBuilder.expectation(words: Words) {
        val measure = words.one(Measure.entries, "a measure") { it.label }
        val bound = Expectation.Bound.entries.firstOrNull { words.skip(it.label) } ?: Expectation.Bound.EXACTLY
        expect(measure, bound, words.figure())
    }

    private class Words(line: String) {
        private val left = ArrayDeque(line.split(' ', '\t').filter { it.isNotEmpty() })

        val isOver: Boolean get() = left.isEmpty()

        fun next(what: String): String = requireNotNull(left.removeFirstOrNull()) { "$what is missing" }

        fun rest(): String = next("a text") + left.joinToString(separator = "") { " $it" }.also { left.clear() }

        fun skip(word: String): Boolean = (left.firstOrNull() == word).also { if (it) left.removeFirst() }

        fun expect(word: String) = require(skip(word)) { "$word is missing" }

        fun end() = require(isOver) { "unexpected ${left.first()}" }

        fun wholeNumber(what: String): Int = next(what).let { word ->
            requireNotNull(word.toIntOrNull()?.takeIf { it > 0 }) { "$word is not a number above zero" }
        }

        fun figure(): Double = next("a figure").let { requireNotNull(it.toDoubleOrNull()) { "$it is not a figure" } }

        fun duration(): Duration = next("a time").let { word ->
            val duration = requireNotNull(Duration.parseOrNull(word)) { "$word is not a time" }
            require(duration >= Duration.ZERO && duration.isFinite()) { "$word is not a time" }
            duration.inWholeMilliseconds.milliseconds
        }

        fun process(): ProcessName =
            ProcessName(one(ProcessName.Kind.entries, "a process") { it.label }, wholeNumber("a number"))

        fun <T> one(choices: List<T>, what: String, label: (T) -> String): T = next(what).let { word ->
            requireNotNull(choices.firstOrNull { label(it) == word }) { "$word is not $what" }
        }
    }
}
