package org.cicadaarch.testkit.scenario

/**
 * One process of a scenario; [number] counts from one within its kind.
 */
data class ProcessName(val kind: Kind, val number: Int) {
    init {
        require(number > 0) { "Processes are numbered from one." }
    }

    /** What runs in a process; [label] is its word in the text form. */
    enum class Kind(val label: String) {
        ROUTER("router"),
        ENGINE("engine"),
        SERVICE("service"),
    }

    override fun toString(): String = "${kind.label} $number"
}
