package org.cicadaarch.configuration

import org.cicadaarch.model.fleet.Account
import org.cicadaarch.model.fleet.AccountLimits
import org.cicadaarch.model.fleet.CredentialHash
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.fleet.Preset
import org.cicadaarch.model.fleet.Service
import org.cicadaarch.model.fleet.Target
import org.cicadaarch.model.fleet.WantedState

/**
 * Builds the canonical tree of a fleet document: keys in a fixed order, default values omitted.
 */
internal object DocumentTree {
    fun of(document: FleetDocument): DocumentNode.Mapping = mapping(
        DocumentKeys.REGIONS to mapping(document.regions) { zones -> texts(zones) },
        DocumentKeys.ACCOUNTS to mapping(document.accounts, ::account),
        DocumentKeys.SERVICES to mapping(document.services, ::service),
        DocumentKeys.TARGETS to mapping(document.targets, ::target),
        DocumentKeys.PRESETS to mapping(document.presets, ::preset),
        DocumentKeys.ACTIVE_PRESET to text(document.activePreset),
    )

    private fun account(account: Account) = mapping(
        DocumentKeys.WEIGHT to text(account.weight).unless(account.weight == 1),
        DocumentKeys.CREDENTIALS to DocumentNode.Sequence(account.credentials.map(::credential)),
        DocumentKeys.LIMITS to limits(account.limits).unlessEmpty(),
    )

    private fun credential(credential: CredentialHash) = mapping(
        DocumentKeys.ITERATIONS to text(credential.iterations),
        DocumentKeys.SALT to text(credential.salt),
        DocumentKeys.HASH to text(credential.hash),
    )

    private fun limits(limits: AccountLimits) = mapping(
        DocumentKeys.REQUESTS_PER_SECOND to limits.requestsPerSecond?.let(::text),
        DocumentKeys.REQUEST_BURST to limits.requestBurst?.let(::text),
        DocumentKeys.TOKENS_PER_SECOND to limits.tokensPerSecond?.let(::text),
        DocumentKeys.CONCURRENT_REQUESTS to limits.concurrentRequests?.let(::text),
    )

    private fun service(service: Service): DocumentNode.Mapping {
        val defaults = Service(service.kind)
        return mapping(
            DocumentKeys.KIND to text(DocumentKeys.nameOf(service.kind)),
            DocumentKeys.TIME_ALLOWED to
                text(service.timeAllowed).unless(service.timeAllowed == defaults.timeAllowed),
            DocumentKeys.LOAD_MULTIPLE to
                text(service.loadMultiple).unless(service.loadMultiple == defaults.loadMultiple),
        )
    }

    private fun target(target: Target) = mapping(
        DocumentKeys.SERVICE to text(target.service),
        DocumentKeys.ADDRESS to text(target.address),
        DocumentKeys.ZONE to text(target.zone),
        DocumentKeys.CAPACITY to text(target.capacity),
        DocumentKeys.CHECKS_FENCING to flag(target.checksFencing),
        DocumentKeys.DEDUPLICATES to flag(target.deduplicates),
        DocumentKeys.RESUMES_STREAMS to flag(target.resumesStreams),
        DocumentKeys.EXPORTS_CACHE to flag(target.exportsCache),
        DocumentKeys.LEAVING to flag(target.leaving),
    )

    private fun preset(preset: Preset) = mapping(
        DocumentKeys.ADMITTED_PRIORITIES to texts(preset.admittedPriorities.sorted().map(DocumentKeys::nameOf))
            .unless(preset.admittedPriorities == Preset().admittedPriorities),
        DocumentKeys.ACCOUNT_LIMITS to mapping(preset.accountLimits, ::limits).unlessEmpty(),
        DocumentKeys.LOAD_MULTIPLES to mapping(preset.loadMultiples) { text(it) }.unlessEmpty(),
        DocumentKeys.WANTED_STATES to mapping(preset.wantedStates, ::wantedState).unlessEmpty(),
    )

    private fun wantedState(state: WantedState) = mapping(
        DocumentKeys.MODEL to text(state.model),
        DocumentKeys.VERSION to text(state.version),
        DocumentKeys.ADAPTERS to texts(state.adapters).unless(state.adapters.isEmpty()),
        DocumentKeys.ROLE to text(DocumentKeys.nameOf(state.role)).unless(state.role == WantedState("", "").role),
    )

    private fun text(value: Any) = DocumentNode.Text(value.toString())

    private fun texts(values: Collection<Any>) = DocumentNode.Sequence(values.map(::text))

    private fun flag(value: Boolean) = text(true).unless(!value)

    private fun <T : DocumentNode> T.unless(condition: Boolean): T? = takeUnless { condition }

    private fun DocumentNode.Mapping.unlessEmpty() = unless(entries.isEmpty())

    private fun mapping(vararg entries: Pair<String, DocumentNode?>): DocumentNode.Mapping {
        val present = LinkedHashMap<String, DocumentNode>()
        entries.forEach { (key, node) -> if (node != null) present[key] = node }
        return DocumentNode.Mapping(present)
    }

    private fun <K : Any, V> mapping(values: Map<K, V>, node: (V) -> DocumentNode) =
        DocumentNode.Mapping(values.entries.associate { (key, value) -> key.toString() to node(value) })
}
