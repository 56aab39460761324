package org.cicadaarch.configuration

import java.util.Base64
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.PresetName
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.fleet.Account
import org.cicadaarch.model.fleet.AccountLimits
import org.cicadaarch.model.fleet.CredentialHash
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.fleet.Preset
import org.cicadaarch.model.fleet.Service
import org.cicadaarch.model.fleet.ServiceKind
import org.cicadaarch.model.fleet.Target

/**
 * Validates the content of a structurally valid document: references, ranges and completeness.
 */
object FleetDocumentValidator {
    /** The presets that every document must define; no others are allowed. */
    val PRESET_NAMES: List<PresetName> = listOf("ordinary", "peak", "maintenance").map(::PresetName)

    /** All errors in [document]; an empty list means that routers may install it. */
    fun validate(document: FleetDocument): List<DocumentError> = buildList {
        addAll(regions(document))
        document.accounts.forEach { (id, account) -> addAll(account("accounts.$id", account)) }
        document.services.forEach { (name, service) -> addAll(service("services.$name", name, service, document)) }
        document.targets.forEach { (id, target) -> addAll(target("targets.$id", target, document)) }
        addAll(addresses(document.targets))
        addAll(presetNames(document))
        document.presets.forEach { (name, preset) -> addAll(preset("presets.$name", preset, document)) }
    }

    private fun regions(document: FleetDocument): List<DocumentError> = buildList {
        expect(document.regions.isNotEmpty(), "regions", null) { "at least one region" }
        val regionsByZone = mutableMapOf<String, String>()
        document.regions.forEach { (region, zones) ->
            expect(zones.isNotEmpty(), "regions.$region", "[]") { "at least one availability zone" }
            zones.forEachIndexed { index, zone ->
                val otherRegion = regionsByZone.putIfAbsent(zone.value, region.value)
                expect(otherRegion == null, "regions.$region.$index", zone.value) {
                    "a zone that no other entry lists; also listed in $otherRegion"
                }
            }
        }
    }

    private fun account(path: String, account: Account): List<DocumentError> = buildList {
        expect(account.credentials.isNotEmpty(), "$path.credentials", null) { "at least one credential" }
        account.credentials.forEachIndexed { index, credential ->
            addAll(credential("$path.credentials.$index", credential))
        }
        expect(account.weight > 0, "$path.weight", account.weight) { "a whole number above 0" }
        addAll(limits("$path.limits", account.limits))
    }

    private fun credential(path: String, credential: CredentialHash): List<DocumentError> = buildList {
        expect(credential.iterations > 0, "$path.iterations", credential.iterations) { "a whole number above 0" }
        expect(decodedSize(credential.salt) > 0, "$path.salt", credential.salt) { "base64 of at least one byte" }
        expect(decodedSize(credential.hash) == CredentialHasher.HASH_BYTES, "$path.hash", credential.hash) {
            "base64 of ${CredentialHasher.HASH_BYTES} bytes"
        }
    }

    private fun limits(path: String, limits: AccountLimits): List<DocumentError> = buildList {
        mapOf(
            DocumentKeys.REQUESTS_PER_SECOND to limits.requestsPerSecond,
            DocumentKeys.REQUEST_BURST to limits.requestBurst,
            DocumentKeys.TOKENS_PER_SECOND to limits.tokensPerSecond,
            DocumentKeys.CONCURRENT_REQUESTS to limits.concurrentRequests,
        ).forEach { (key, limit) ->
            expect(limit == null || limit.toDouble() > 0, "$path.$key", limit) { "a number above 0, or no key" }
        }
    }

    private fun service(
        path: String,
        name: ServiceName,
        service: Service,
        document: FleetDocument,
    ): List<DocumentError> = buildList {
        expect(service.timeAllowed.isPositive(), "$path.timeAllowed", service.timeAllowed) { "a duration above 0s" }
        expect(service.timeAllowed.isFinite(), "$path.timeAllowed", service.timeAllowed) { "a finite duration" }
        expect(service.loadMultiple > 1, "$path.loadMultiple", service.loadMultiple) { ABOVE_ONE }
        expect(document.targets.any { it.value.service == name }, path, name) { "a service with at least one target" }
    }

    private fun target(path: String, target: Target, document: FleetDocument): List<DocumentError> = buildList {
        expect(target.service in document.services, "$path.service", target.service) { oneOf(document.services.keys) }
        expect(document.regionOf(target.zone) != null, "$path.zone", target.zone) { zonesOf(document) }
        expect(isAddress(target.address), "$path.address", target.address) {
            "host:port with a port from 1 to $MAX_PORT"
        }
        expect(target.capacity > 0, "$path.capacity", target.capacity) { "a whole number above 0" }
    }

    private fun addresses(targets: Map<TargetId, Target>): List<DocumentError> = buildList {
        targets.entries.groupBy { it.value.address }.values.forEach { targetsAtAddress ->
            val first = targetsAtAddress.first().key
            targetsAtAddress.drop(1).forEach { (id, target) ->
                expect(false, "targets.$id.address", target.address) { "a unique address; already used by $first" }
            }
        }
    }

    private fun presetNames(document: FleetDocument): List<DocumentError> = buildList {
        val allowed = "exactly the presets ${PRESET_NAMES.joinToString()}"
        PRESET_NAMES.forEach { expect(it in document.presets, "presets.$it", null) { allowed } }
        document.presets.keys.forEach { expect(it in PRESET_NAMES, "presets.$it", it) { allowed } }
        expect(document.activePreset in PRESET_NAMES, "activePreset", document.activePreset) { oneOf(PRESET_NAMES) }
    }

    private fun preset(path: String, preset: Preset, document: FleetDocument): List<DocumentError> = buildList {
        expect(preset.admittedPriorities.isNotEmpty(), "$path.admittedPriorities", "[]") { "at least one priority" }
        preset.accountLimits.forEach { (account, limits) ->
            val limitsPath = "$path.accountLimits.$account"
            expect(account in document.accounts, limitsPath, account) { oneOf(document.accounts.keys) }
            addAll(limits(limitsPath, limits))
        }
        preset.loadMultiples.forEach { (service, multiple) ->
            val multiplePath = "$path.loadMultiples.$service"
            expect(service in document.services, multiplePath, service) { oneOf(document.services.keys) }
            expect(multiple > 1, multiplePath, multiple) { ABOVE_ONE }
        }
        preset.wantedStates.keys.forEach { target ->
            val kind = document.targets[target]?.let { document.services[it.service]?.kind }
            expect(kind == ServiceKind.MODEL, "$path.wantedStates.$target", target) { oneOf(engines(document)) }
        }
    }

    private fun engines(document: FleetDocument): Collection<TargetId> =
        document.targets.filterValues { document.services[it.service]?.kind == ServiceKind.MODEL }.keys

    private fun zonesOf(document: FleetDocument) = oneOf(document.regions.values.flatten())

    private fun oneOf(names: Collection<Any>): String = when {
        names.isEmpty() -> "nothing; the document defines no name to refer to"
        names.size <= MAX_LISTED_NAMES -> "one of ${names.joinToString()}"
        else -> "one of ${names.take(MAX_LISTED_NAMES).joinToString()} and ${names.size - MAX_LISTED_NAMES} more"
    }

    private fun isAddress(address: String): Boolean {
        val match = ADDRESS.matchEntire(address) ?: return false
        return match.groupValues.last().toInt() in 1..MAX_PORT
    }

    private fun decodedSize(text: String): Int = try {
        Base64.getDecoder().decode(text).size
    } catch (_: IllegalArgumentException) {
        0
    }

    // The message is a lambda because lists of allowed names are long and only needed if there is an error.
    private inline fun MutableList<DocumentError>.expect(
        condition: Boolean,
        path: String,
        value: Any?,
        allowed: () -> String,
    ) {
        if (!condition) add(DocumentError(path = path, value = value?.toString(), allowed = allowed()))
    }

    private val ADDRESS = Regex("(?:[A-Za-z0-9.-]+|\\[[0-9A-Fa-f:.]+]):([0-9]{1,5})")
    private const val MAX_PORT = 65_535
    private const val ABOVE_ONE = "a number above 1"
    private const val MAX_LISTED_NAMES = 20
}
