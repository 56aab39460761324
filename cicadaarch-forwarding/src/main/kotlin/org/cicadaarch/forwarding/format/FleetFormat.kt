package org.cicadaarch.forwarding.format

import arrow.core.Either
import org.cicadaarch.dispatch.routing.RoutingTable
import org.cicadaarch.dispatch.target.TargetEntry
import org.cicadaarch.model.ZoneName

/**
 * Where the store keeps the configuration and the targets, and how their values are parsed. Parsers return a
 * description of the error for a malformed value.
 */
interface FleetFormat {
    /** Prefix of the configuration's keys. */
    val configurationPrefix: String

    /** Key of the current configuration. */
    val configurationKey: String

    /** Prefix of the targets' keys; each target has one. */
    val targetPrefix: String

    /** The most characters that the entry of a target may have. */
    val maxTargetLength: Int

    /** The zones to evacuate, by the [keys] under [configurationPrefix]. */
    fun evacuatedZones(keys: Set<String>): Set<ZoneName>

    /** Parses a configuration. */
    fun parseRoutingTable(value: String): Either<String, RoutingTable>

    /** Parses the entry of the target that is stored at [key]. */
    fun parseTarget(key: String, value: String): Either<String, TargetEntry>
}
