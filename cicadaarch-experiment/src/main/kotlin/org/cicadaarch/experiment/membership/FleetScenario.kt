package org.cicadaarch.experiment.membership

/**
 * The faults that the membership is measured under.
 */
enum class FleetScenario {
    /** No fault for a minute. */
    STEADY,

    /** One router ends without notice. */
    CRASH,

    /** One router ends without notice while the platform's list is down for minutes. */
    LIST_DOWN,

    /** A new process takes a crashed one's address at once. */
    RESTART,

    /** One router shuts down gracefully. */
    LEAVE,

    /** All routers of one availability zone end. */
    ZONE_LOST,

    /** One region and the others lose each other for two minutes. */
    REGION_CUT,

    /** One router receives nothing for a minute but still sends. */
    RECEIVE_CUT,

    /** One router sends nothing for a minute but still receives. */
    SEND_CUT,

    /** For two minutes nothing passes from one zone to another, while the other way works. */
    LINK_CUT,

    /** One process is paused for 20 s. */
    PAUSE,

    /** One process is paused for 8 s, five times, with 4 s between. */
    FLAPPING,

    /** A tenth of all datagrams is lost for a minute. */
    LOSS,

    /** A third of all datagrams is lost for a minute. */
    HEAVY_LOSS,
}
