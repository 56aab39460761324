package org.cicadaarch.testkit.scenario

/**
 * What a scenario's end is judged by. [label] is its word in the text form.
 */
enum class Measure(val label: String) {
    /** Requests without an outcome. */
    LOST("lost"),

    /** Non-idempotent requests that ran more than once. */
    DOUBLED("doubled"),

    /** Requests that ran although their outcome denies it. */
    FALSE_NOT_RUN("false-not-run"),

    /** Requests whose completed answer lacks its end. */
    INCOMPLETE("incomplete"),

    /** Requests that got an answer which is not theirs. */
    FOREIGN("foreign"),

    /** Requests that completed. */
    COMPLETED("completed"),

    /** Requests refused before they ran. */
    REFUSED("refused"),

    /** Requests whose first byte came after the time allowed. */
    LATE("late"),

    /** The largest load of an engine over the mean load. */
    SKEW("skew"),

    /** The share of prompt tokens found in a cache, from zero to one. */
    CACHE_REUSE("cache-reuse"),

    /** Bytes of coordination and probes per router and second. */
    CONTROL_BYTES("control-bytes"),
}
