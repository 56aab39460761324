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
 * Turns YAML nodes into the parts of a fleet document and reports faults of form to [faults].
 */
internal class DocumentReader(private val faults: FaultCollector) {
    /** The document in [root]; faulty values are replaced, so it is whole only while [faults] is empty. */
    fun read(root: YamlNode): FleetDocument = with(SectionReader(root, path = "", faults)) {
        val document = FleetDocument(
            regions = regions(section(DocumentKey.REGIONS, required = true)),
            accounts = section(DocumentKey.ACCOUNTS, required = true)
                .sections { _, section -> account(section) }
                .mapKeys { AccountId(it.key) },
            services = section(DocumentKey.SERVICES, required = true)
                .sections { _, section -> service(section) }
                .mapKeys { ServiceName(it.key) },
            targets = section(DocumentKey.TARGETS, required = true)
                .sections { _, section -> target(section) }
                .mapKeys { TargetId(it.key) },
            presets = section(DocumentKey.PRESETS, required = true)
                .sections { _, section -> preset(section) }
                .mapKeys { PresetName(it.key) },
            activePreset = PresetName(text(DocumentKey.ACTIVE_PRESET).orEmpty()),
        )
        finish()
        document
    }

    private fun regions(section: SectionReader): Map<RegionName, List<ZoneName>> = section
        .entries { region -> section.texts(region).map(::ZoneName) }
        .mapKeys { RegionName(it.key) }

    private fun account(section: SectionReader) = Account(
        credentials = section.sectionList(DocumentKey.CREDENTIALS, ::credential),
        weight = section.optionalWhole(DocumentKey.WEIGHT) ?: 1,
        limits = limits(section.section(DocumentKey.LIMITS)),
    ).also { section.finish() }

    private fun credential(section: SectionReader) = CredentialHash(
        salt = section.text(DocumentKey.SALT).orEmpty(),
        hash = section.text(DocumentKey.HASH).orEmpty(),
        iterations = section.whole(DocumentKey.ITERATIONS) ?: 0,
    ).also { section.finish() }

    private fun limits(section: SectionReader) = AccountLimits(
        requestsPerSecond = section.optionalDecimal(DocumentKey.REQUESTS_PER_SECOND),
        requestBurst = section.optionalWhole(DocumentKey.REQUEST_BURST),
        tokensPerSecond = section.optionalDecimal(DocumentKey.TOKENS_PER_SECOND),
        concurrentRequests = section.optionalWhole(DocumentKey.CONCURRENT_REQUESTS),
    ).also { section.finish() }

    private fun service(section: SectionReader): Service {
        val standard = Service(kind = section.choice(DocumentKey.KIND, DocumentKey.KINDS) ?: ServiceKind.MODEL)
        return standard.copy(
            timeAllowed = section.optionalDuration(DocumentKey.TIME_ALLOWED) ?: standard.timeAllowed,
            loadMultiple = section.optionalDecimal(DocumentKey.LOAD_MULTIPLE) ?: standard.loadMultiple,
        ).also { section.finish() }
    }

    private fun target(section: SectionReader) = Target(
        service = ServiceName(section.text(DocumentKey.SERVICE).orEmpty()),
        address = section.text(DocumentKey.ADDRESS).orEmpty(),
        zone = ZoneName(section.text(DocumentKey.ZONE).orEmpty()),
        capacity = section.whole(DocumentKey.CAPACITY) ?: 0,
        checksFencing = section.optionalFlag(DocumentKey.CHECKS_FENCING) ?: false,
        deduplicates = section.optionalFlag(DocumentKey.DEDUPLICATES) ?: false,
        resumesStreams = section.optionalFlag(DocumentKey.RESUMES_STREAMS) ?: false,
        exportsCache = section.optionalFlag(DocumentKey.EXPORTS_CACHE) ?: false,
        leaving = section.optionalFlag(DocumentKey.LEAVING) ?: false,
    ).also { section.finish() }

    private fun preset(section: SectionReader): Preset {
        val multiples = section.section(DocumentKey.LOAD_MULTIPLES)
        return Preset(
            admittedPriorities = priorities(section),
            accountLimits = section.section(DocumentKey.ACCOUNT_LIMITS)
                .sections { _, limits -> limits(limits) }
                .mapKeys { AccountId(it.key) },
            loadMultiples = multiples.entries { multiples.optionalDecimal(it) ?: 0.0 }.mapKeys { ServiceName(it.key) },
            wantedStates = section.section(DocumentKey.WANTED_STATES)
                .sections { _, state -> wantedState(state) }
                .mapKeys { TargetId(it.key) },
        ).also { section.finish() }
    }

    private fun priorities(section: SectionReader): Set<Priority> {
        if (!section.hasKey(DocumentKey.ADMITTED_PRIORITIES)) return Preset().admittedPriorities
        return section.choices(DocumentKey.ADMITTED_PRIORITIES, DocumentKey.PRIORITIES).toSet()
    }

    private fun wantedState(section: SectionReader) = WantedState(
        model = section.text(DocumentKey.MODEL).orEmpty(),
        version = section.text(DocumentKey.VERSION).orEmpty(),
        adapters = section.texts(DocumentKey.ADAPTERS).toSet(),
        role = section.optionalChoice(DocumentKey.ROLE, DocumentKey.ROLES) ?: EngineRole.MIXED,
    ).also { section.finish() }
}
