package org.cicadaarch.orders

/** Bugs that the invariant checks of the fuzz tests must detect: in the reducers, the router process or the engines. */
internal enum class InjectedOrdersBug {
    /** The router process sends an order after its deadline, having been paused just before sending it. */
    SEND_DEADLINE_IGNORED,

    /** Engines that are configured to check fencing tokens do not check them. */
    FENCING_NOT_CHECKED,

    /** A new holder does not wait for the takeover delay before it orders engines that do not check fencing tokens. */
    TAKEOVER_DELAY_SKIPPED,
}
