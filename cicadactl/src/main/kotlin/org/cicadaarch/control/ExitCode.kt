package org.cicadaarch.control

/**
 * The exit codes of cicadactl.
 */
enum class ExitCode(val code: Int) {
    /** The command succeeded. */
    DONE(0),

    /** The command failed for a reason that has no code of its own. */
    FAILED(1),

    /** The command line is wrong. */
    USAGE(2),

    /** The document has errors; nothing was written. */
    INVALID(3),

    /** The store's document was changed by another operator; nothing was written. */
    CONFLICT(4),

    /** The store or the routers could not be reached. */
    UNREACHABLE(5),

    /** The document was accepted but is not yet in force on all known routers. */
    NOT_IN_FORCE(6),
}
