package org.cicadaarch.experiment

/**
 * One command of the load and experiment tool.
 */
interface Experiment {
    /** The command's name on the command line. */
    val name: String

    /** One line for the list of commands. */
    val summary: String

    /** Runs with the [arguments] after the command's name, printing its table; returns the process's exit code. */
    fun run(arguments: List<String>): Int
}
