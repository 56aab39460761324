package org.cicadaarch.configuration

import org.cicadaarch.model.Priority
import org.cicadaarch.model.fleet.EngineRole
import org.cicadaarch.model.fleet.ServiceKind

/**
 * The keys and enum value names of the YAML format, shared by the parser and the writer.
 */
internal object DocumentKeys {
    const val REGIONS = "regions"
    const val ACCOUNTS = "accounts"
    const val SERVICES = "services"
    const val TARGETS = "targets"
    const val PRESETS = "presets"
    const val ACTIVE_PRESET = "activePreset"

    const val CREDENTIALS = "credentials"
    const val SALT = "salt"
    const val HASH = "hash"
    const val ITERATIONS = "iterations"
    const val WEIGHT = "weight"
    const val LIMITS = "limits"
    const val REQUESTS_PER_SECOND = "requestsPerSecond"
    const val REQUEST_BURST = "requestBurst"
    const val TOKENS_PER_SECOND = "tokensPerSecond"
    const val CONCURRENT_REQUESTS = "concurrentRequests"

    const val KIND = "kind"
    const val TIME_ALLOWED = "timeAllowed"
    const val LOAD_MULTIPLE = "loadMultiple"

    const val SERVICE = "service"
    const val ADDRESS = "address"
    const val ZONE = "zone"
    const val CAPACITY = "capacity"
    const val CHECKS_FENCING = "checksFencing"
    const val DEDUPLICATES = "deduplicates"
    const val RESUMES_STREAMS = "resumesStreams"
    const val EXPORTS_CACHE = "exportsCache"
    const val LEAVING = "leaving"

    const val ADMITTED_PRIORITIES = "admittedPriorities"
    const val ACCOUNT_LIMITS = "accountLimits"
    const val LOAD_MULTIPLES = "loadMultiples"
    const val WANTED_STATES = "wantedStates"
    const val MODEL = "model"
    const val VERSION = "version"
    const val ADAPTERS = "adapters"
    const val ROLE = "role"

    val KINDS: Map<String, ServiceKind> = namesOf(ServiceKind.entries)
    val PRIORITIES: Map<String, Priority> = namesOf(Priority.entries)
    val ROLES: Map<String, EngineRole> = namesOf(EngineRole.entries)

    /** The YAML name of [value]. */
    fun nameOf(value: Enum<*>): String = value.name.lowercase()

    private fun <T : Enum<T>> namesOf(values: List<T>): Map<String, T> = values.associateBy(::nameOf)
}
