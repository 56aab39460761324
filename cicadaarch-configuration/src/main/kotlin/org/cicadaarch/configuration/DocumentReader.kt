package org.cicadaarch.configuration

import com.charleskorn.kaml.YamlNode
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.PresetName
import org.cicadaarch.model.Priority
import org.cicadaarch.model.RegionName
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.ZoneName
import org.cicadaarch.model.fleet.Account
import org.cicadaarch.model.fleet.AccountLimits
import org.cicadaarch.model.fleet.CredentialHash
import org.cicadaarch.model.fleet.EngineRole
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.fleet.Preset
import org.cicadaarch.model.fleet.Service
import org.cicadaarch.model.fleet.ServiceKind
import org.cicadaarch.model.fleet.Target
import org.cicadaarch.model.fleet.WantedState

/**
 * Converts YAML nodes to a [FleetDocument]. Structural errors, such as missing keys or wrong types, go to [errors].
 */
internal class DocumentReader(private val errors: ErrorCollector) {
    /** Reads the document. Invalid values are replaced by placeholders, so use the result only if [errors] is empty. */
    fun read(root: YamlNode): FleetDocument = with(SectionReader(root, path = "", errors)) {
        val document = FleetDocument(
            regions = regions(section(DocumentKeys.REGIONS, required = true)),
            accounts = section(DocumentKeys.ACCOUNTS, required = true)
                .sections { _, section -> account(section) }
                .mapKeys { AccountId(it.key) },
            services = section(DocumentKeys.SERVICES, required = true)
                .sections { _, section -> service(section) }
                .mapKeys { ServiceName(it.key) },
            targets = section(DocumentKeys.TARGETS, required = true)
                .sections { _, section -> target(section) }
                .mapKeys { TargetId(it.key) },
            presets = section(DocumentKeys.PRESETS, required = true)
                .sections { _, section -> preset(section) }
                .mapKeys { PresetName(it.key) },
            activePreset = PresetName(string(DocumentKeys.ACTIVE_PRESET).orEmpty()),
        )
        reportUnknownKeys()
        document
    }

    private fun regions(section: SectionReader): Map<RegionName, List<ZoneName>> = section
        .entries { region -> section.strings(region).map(::ZoneName) }
        .mapKeys { RegionName(it.key) }

    private fun account(section: SectionReader) = Account(
        credentials = section.sectionList(DocumentKeys.CREDENTIALS, ::credential),
        weight = section.optionalInt(DocumentKeys.WEIGHT) ?: 1,
        limits = limits(section.section(DocumentKeys.LIMITS)),
    ).also { section.reportUnknownKeys() }

    private fun credential(section: SectionReader) = CredentialHash(
        salt = section.string(DocumentKeys.SALT).orEmpty(),
        hash = section.string(DocumentKeys.HASH).orEmpty(),
        iterations = section.int(DocumentKeys.ITERATIONS) ?: 0,
    ).also { section.reportUnknownKeys() }

    private fun limits(section: SectionReader) = AccountLimits(
        requestsPerSecond = section.optionalDouble(DocumentKeys.REQUESTS_PER_SECOND),
        requestBurst = section.optionalInt(DocumentKeys.REQUEST_BURST),
        tokensPerSecond = section.optionalDouble(DocumentKeys.TOKENS_PER_SECOND),
        concurrentRequests = section.optionalInt(DocumentKeys.CONCURRENT_REQUESTS),
    ).also { section.reportUnknownKeys() }

    private fun service(section: SectionReader): Service {
        val defaults = Service(kind = section.choice(DocumentKeys.KIND, DocumentKeys.KINDS) ?: ServiceKind.MODEL)
        return defaults.copy(
            timeAllowed = section.optionalDuration(DocumentKeys.TIME_ALLOWED) ?: defaults.timeAllowed,
            loadMultiple = section.optionalDouble(DocumentKeys.LOAD_MULTIPLE) ?: defaults.loadMultiple,
        ).also { section.reportUnknownKeys() }
    }

    private fun target(section: SectionReader) = Target(
        service = ServiceName(section.string(DocumentKeys.SERVICE).orEmpty()),
        address = section.string(DocumentKeys.ADDRESS).orEmpty(),
        zone = ZoneName(section.string(DocumentKeys.ZONE).orEmpty()),
        capacity = section.int(DocumentKeys.CAPACITY) ?: 0,
        checksFencing = section.optionalBoolean(DocumentKeys.CHECKS_FENCING) ?: false,
        deduplicates = section.optionalBoolean(DocumentKeys.DEDUPLICATES) ?: false,
        resumesStreams = section.optionalBoolean(DocumentKeys.RESUMES_STREAMS) ?: false,
        exportsCache = section.optionalBoolean(DocumentKeys.EXPORTS_CACHE) ?: false,
        leaving = section.optionalBoolean(DocumentKeys.LEAVING) ?: false,
    ).also { section.reportUnknownKeys() }

    private fun preset(section: SectionReader): Preset {
        val multiples = section.section(DocumentKeys.LOAD_MULTIPLES)
        return Preset(
            admittedPriorities = priorities(section),
            accountLimits = section.section(DocumentKeys.ACCOUNT_LIMITS)
                .sections { _, limits -> limits(limits) }
                .mapKeys { AccountId(it.key) },
            loadMultiples = multiples.entries { multiples.optionalDouble(it) ?: 0.0 }.mapKeys { ServiceName(it.key) },
            wantedStates = section.section(DocumentKeys.WANTED_STATES)
                .sections { _, state -> wantedState(state) }
                .mapKeys { TargetId(it.key) },
        ).also { section.reportUnknownKeys() }
    }

    private fun priorities(section: SectionReader): Set<Priority> {
        if (!section.hasKey(DocumentKeys.ADMITTED_PRIORITIES)) return Preset().admittedPriorities
        return section.choices(DocumentKeys.ADMITTED_PRIORITIES, DocumentKeys.PRIORITIES).toSet()
    }

    private fun wantedState(section: SectionReader) = WantedState(
        model = section.string(DocumentKeys.MODEL).orEmpty(),
        version = section.string(DocumentKeys.VERSION).orEmpty(),
        adapters = section.strings(DocumentKeys.ADAPTERS).toSet(),
        role = section.optionalChoice(DocumentKeys.ROLE, DocumentKeys.ROLES) ?: EngineRole.MIXED,
    ).also { section.reportUnknownKeys() }
}
