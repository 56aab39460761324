package org.cicadaarch.testkit.scenario

import kotlin.time.Duration
import org.cicadaarch.testkit.StoreFault
import org.cicadaarch.testkit.TargetFault

/**
 * What happens in one step of a scenario. [toString] gives the text form.
 */
sealed class ScenarioAction {
    /** Ends [process] at once. */
    data class Kill(val process: ProcessName) : ScenarioAction() {
        override fun toString(): String = "kill $process"
    }

    /** Pauses [process] with its connections open. */
    data class Freeze(val process: ProcessName) : ScenarioAction() {
        override fun toString(): String = "freeze $process"
    }

    /** Lets a paused [process] go on. */
    data class Resume(val process: ProcessName) : ScenarioAction() {
        override fun toString(): String = "resume $process"
    }

    /** Asks [process] for a graceful shutdown. */
    data class Stop(val process: ProcessName) : ScenarioAction() {
        override fun toString(): String = "stop $process"
    }

    /** Starts [process], anew or for the first time. */
    data class Start(val process: ProcessName) : ScenarioAction() {
        override fun toString(): String = "start $process"
    }

    /** Puts the platform's store under [fault]. */
    data class FaultStore(val fault: StoreFault) : ScenarioAction() {
        override fun toString(): String = when (fault.mode) {
            StoreFault.Mode.UP -> "store up"
            StoreFault.Mode.DOWN -> "store down"
            StoreFault.Mode.SLOW -> "store slow ${fault.delayMilliseconds}ms"
            StoreFault.Mode.LOSE_ANSWERS -> "store lose-answers"
        }
    }

    /** Puts the engine or service [process] under [fault]. */
    data class FaultTarget(val process: ProcessName, val fault: TargetFault) : ScenarioAction() {
        override fun toString(): String = when (fault.mode) {
            TargetFault.Mode.NORMAL -> "$process normal"
            TargetFault.Mode.SILENT -> "$process silent"
            TargetFault.Mode.CRASH_ON -> "$process crash-on ${fault.text}"
            TargetFault.Mode.SLOW -> "$process slow ${fault.factor}"
        }
    }

    /** Makes [preset] the active one. */
    data class SwitchPreset(val preset: String) : ScenarioAction() {
        override fun toString(): String = "preset $preset"
    }

    /** Sends [count] requests spread evenly over [duration]. */
    data class Load(val kind: LoadKind, val count: Int, val duration: Duration) : ScenarioAction() {
        override fun toString(): String = "load ${kind.label} $count over ${duration.inWholeMilliseconds}ms"
    }
}
