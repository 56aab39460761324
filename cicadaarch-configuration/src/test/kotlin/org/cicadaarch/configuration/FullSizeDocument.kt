package org.cicadaarch.configuration

import kotlin.random.Random
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.RegionName
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.ZoneName
import org.cicadaarch.model.fleet.Account
import org.cicadaarch.model.fleet.AccountLimits
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.fleet.Preset
import org.cicadaarch.model.fleet.Service
import org.cicadaarch.model.fleet.ServiceKind
import org.cicadaarch.model.fleet.Target
import org.cicadaarch.model.fleet.WantedState

/**
 * A document of the largest fleet that the design must support: 910 engines, 350 accounts, 9 models, 3 regions with 11
 * zones, and a wanted state for every engine in every preset.
 */
object FullSizeDocument {
    private val random = Random(1)
    private val zones = (0 until 11).map { ZoneName("zone-$it") }
    private val services = (0 until 9).associate { ServiceName("model-$it") to Service(ServiceKind.MODEL) }
    private val targets = (0 until 910).associate { TargetId("engine-$it") to target(it) }
    private val preset = Preset(
        wantedStates = targets.mapValues { (_, target) -> WantedState(target.service.value, version = "2026.11") },
    )

    val document = FleetDocument(
        regions = zones.groupBy { RegionName("region-${zones.indexOf(it) % 3}") },
        accounts = (0 until 350).associate { AccountId("account-$it") to account() },
        services = services,
        targets = targets,
        presets = FleetDocumentValidator.PRESET_NAMES.associateWith { preset },
        activePreset = FleetDocumentValidator.PRESET_NAMES.first(),
    )

    private fun account() = Account(
        credentials = listOf(CredentialHasher.hash(secret = "secret", salt = random.nextBytes(16), iterations = 1)),
        limits = AccountLimits(
            requestsPerSecond = 40.0,
            requestBurst = 100,
            tokensPerSecond = 20_000.0,
            concurrentRequests = 60,
        ),
    )

    private fun target(number: Int) = Target(
        service = services.keys.elementAt(number % services.size),
        address = "10.0.${number / 250}.${number % 250}:8000",
        zone = zones[number % zones.size],
        capacity = 32,
        checksFencing = true,
        resumesStreams = true,
    )
}
