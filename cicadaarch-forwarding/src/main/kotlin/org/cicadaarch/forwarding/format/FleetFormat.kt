package org.cicadaarch.forwarding.format

import arrow.core.Either
import org.cicadaarch.dispatch.routing.RoutingTable
import org.cicadaarch.dispatch.target.TargetEntry

/**
 * Where the store keeps the configuration and the targets, and how their values are read. Errors tell what is wrong.
 */
interface FleetFormat {
    /** The prefix that holds the configuration. */
    val configurationPrefix: String

    /** The key of the newest configuration. */
    val configurationKey: String

    /** The prefix that holds one value for each target. */
    val targetPrefix: String

    /** Reads a configuration. */
    fun parseRoutingTable(value: String): Either<String, RoutingTable>

    /** Reads the target with [key]. */
    fun parseTarget(key: String, value: String): Either<String, TargetEntry>
}
