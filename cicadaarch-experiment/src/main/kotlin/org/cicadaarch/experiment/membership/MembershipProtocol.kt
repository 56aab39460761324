package org.cicadaarch.experiment.membership

/**
 * The ways to keep the list of live routers that are compared.
 */
enum class MembershipProtocol {
    /** The membership reducer. */
    PROBING,

    /** The platform's list alone, read every 10 s. */
    LIST,

    /** A heartbeat from each router to each other one. */
    HEARTBEAT,
}
