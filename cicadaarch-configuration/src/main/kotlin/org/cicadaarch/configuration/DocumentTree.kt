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
 * The canonical tree of a fleet document: its keys in fixed order, without those that have their default values.
 */
internal object DocumentTree {
    fun of(document: FleetDocument): DocumentNode.Mapping = mapping(
        DocumentKey.REGIONS to mapping(document.regions) { zones -> texts(zones) },
        DocumentKey.ACCOUNTS to mapping(document.accounts, ::account),
        DocumentKey.SERVICES to mapping(document.services, ::service),
        DocumentKey.TARGETS to mapping(document.targets, ::target),
        DocumentKey.PRESETS to mapping(document.presets, ::preset),
        DocumentKey.ACTIVE_PRESET to text(document.activePreset),
    )

    private fun account(account: Account) = mapping(
        DocumentKey.WEIGHT to text(account.weight).unless(account.weight == 1),
        DocumentKey.CREDENTIALS to DocumentNode.Sequence(account.credentials.map(::credential)),
        DocumentKey.LIMITS to limits(account.limits).unlessEmpty(),
    )

    private fun credential(credential: CredentialHash) = mapping(
        DocumentKey.ITERATIONS to text(credential.iterations),
        DocumentKey.SALT to text(credential.salt),
        DocumentKey.HASH to text(credential.hash),
    )

    private fun limits(limits: AccountLimits) = mapping(
        DocumentKey.REQUESTS_PER_SECOND to limits.requestsPerSecond?.let(::text),
        DocumentKey.REQUEST_BURST to limits.requestBurst?.let(::text),
        DocumentKey.TOKENS_PER_SECOND to limits.tokensPerSecond?.let(::text),
        DocumentKey.CONCURRENT_REQUESTS to limits.concurrentRequests?.let(::text),
    )

    private fun service(service: Service): DocumentNode.Mapping {
        val standard = Service(service.kind)
        return mapping(
            DocumentKey.KIND to text(DocumentKey.nameOf(service.kind)),
            DocumentKey.TIME_ALLOWED to
                text(service.timeAllowed).unless(service.timeAllowed == standard.timeAllowed),
            DocumentKey.LOAD_MULTIPLE to
                text(service.loadMultiple).unless(service.loadMultiple == standard.loadMultiple),
        )
    }

    private fun target(target: Target) = mapping(
        DocumentKey.SERVICE to text(target.service),
        DocumentKey.ADDRESS to text(target.address),
        DocumentKey.ZONE to text(target.zone),
        DocumentKey.CAPACITY to text(target.capacity),
        DocumentKey.CHECKS_FENCING to flag(target.checksFencing),
        DocumentKey.DEDUPLICATES to flag(target.deduplicates),
        DocumentKey.RESUMES_STREAMS to flag(target.resumesStreams),
        DocumentKey.EXPORTS_CACHE to flag(target.exportsCache),
        DocumentKey.LEAVING to flag(target.leaving),
    )

    private fun preset(preset: Preset) = mapping(
        DocumentKey.ADMITTED_PRIORITIES to texts(preset.admittedPriorities.sorted().map(DocumentKey::nameOf))
            .unless(preset.admittedPriorities == Preset().admittedPriorities),
        DocumentKey.ACCOUNT_LIMITS to mapping(preset.accountLimits, ::limits).unlessEmpty(),
        DocumentKey.LOAD_MULTIPLES to mapping(preset.loadMultiples) { text(it) }.unlessEmpty(),
        DocumentKey.WANTED_STATES to mapping(preset.wantedStates, ::wantedState).unlessEmpty(),
    )

    private fun wantedState(state: WantedState) = mapping(
        DocumentKey.MODEL to text(state.model),
        DocumentKey.VERSION to text(state.version),
        DocumentKey.ADAPTERS to texts(state.adapters).unless(state.adapters.isEmpty()),
        DocumentKey.ROLE to text(DocumentKey.nameOf(state.role)).unless(state.role == WantedState("", "").role),
    )

    private fun text(value: Any) = DocumentNode.Text(value.toString())

    private fun texts(values: Collection<Any>) = DocumentNode.Sequence(values.map(::text))

    private fun flag(value: Boolean) = text(true).unless(!value)

    private fun <T : DocumentNode> T.unless(omitted: Boolean): T? = takeUnless { omitted }

    private fun DocumentNode.Mapping.unlessEmpty() = unless(entries.isEmpty())

    private fun mapping(vararg entries: Pair<String, DocumentNode?>): DocumentNode.Mapping {
        val present = LinkedHashMap<String, DocumentNode>()
        entries.forEach { (key, node) -> if (node != null) present[key] = node }
        return DocumentNode.Mapping(present)
    }

    private fun <K : Any, V> mapping(values: Map<K, V>, node: (V) -> DocumentNode) =
        DocumentNode.Mapping(values.entries.associate { (key, value) -> key.toString() to node(value) })
}
