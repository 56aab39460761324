package org.cicadaarch.configuration

import kotlin.time.Duration.Companion.milliseconds
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.Priority
import org.cicadaarch.model.RegionName
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.ZoneName
import org.cicadaarch.model.fleet.Account
import org.cicadaarch.model.fleet.AccountLimits
import org.cicadaarch.model.fleet.EngineRole
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.fleet.Preset
import org.cicadaarch.model.fleet.Service
import org.cicadaarch.model.fleet.ServiceKind
import org.cicadaarch.model.fleet.Target
import org.cicadaarch.model.fleet.WantedState

/**
 * Generates valid fleet documents.
 */
internal object FleetDocumentArbitraries {
    private val zones = (1..4).map { ZoneName("zone-$it") }
    private val names = Arbitraries.strings().withCharRange('a', 'z').numeric().withChars("._-")
        .ofMinLength(1).ofMaxLength(12).filter { it.first().isLetterOrDigit() }
    private val limits: Arbitrary<AccountLimits> = Combinators.combine(
        Arbitraries.doubles().between(0.001, 1e9).ofScale(3).injectNull(0.3),
        Arbitraries.integers().between(1, 1_000).injectNull(0.3),
        Arbitraries.doubles().between(0.001, 1e9).ofScale(3).injectNull(0.3),
        Arbitraries.integers().between(1, 1_000).injectNull(0.3),
    ).`as` { requests, burst, tokens, concurrent -> AccountLimits(requests, burst, tokens, concurrent) }
    private val multiples = Arbitraries.doubles().between(1.001, 100.0).ofScale(3)
    private val accounts: Arbitrary<Account> = Combinators.combine(
        Arbitraries.bytes().array(ByteArray::class.java).ofMinSize(1).ofMaxSize(16),
        Arbitraries.integers().between(1, 9),
        limits,
    ).`as` { salt, weight, limits ->
        Account(listOf(CredentialHasher.hash(secret = "secret", salt = salt, iterations = 1)), weight, limits)
    }
    private val services: Arbitrary<Service> = Combinators.combine(
        Arbitraries.of(ServiceKind::class.java),
        Arbitraries.longs().between(1, 100_000),
        multiples,
    ).`as` { kind, time, multiple -> Service(kind, time.milliseconds, multiple) }
    private val wantedStates: Arbitrary<WantedState> = Combinators.combine(
        Arbitraries.strings().filter { text -> text.none { it.isSurrogate() } },
        Arbitraries.of("1", "null", "true", "~", "", "a: b", "# c", "\"quoted\"", "\\", "- x", "\uD83C\uDF52"),
        Arbitraries.strings().alpha().set().ofMaxSize(3),
        Arbitraries.of(EngineRole::class.java),
    ).`as` { model, version, adapters, role -> WantedState(model, version, adapters, role) }

    fun documents(): Arbitrary<FleetDocument> = Combinators.combine(
        Arbitraries.maps(names.map(::AccountId), accounts).ofMaxSize(4),
        Arbitraries.maps(names.map(::ServiceName), services).ofMinSize(1).ofMaxSize(3),
        limits,
        multiples,
        wantedStates,
        Arbitraries.of(Priority::class.java).set().ofMinSize(1),
        Arbitraries.of(FleetDocumentValidator.PRESET_NAMES),
        Arbitraries.integers().between(0, 31),
    ).`as` { accounts, services, limits, multiple, wanted, priorities, active, flags ->
        val targets = services.keys.withIndex().associate { (index, service) ->
            TargetId("target-$index") to target(index, service, flags)
        }
        val engines = targets.filterValues { services.getValue(it.service).kind == ServiceKind.MODEL }
        val preset = Preset(
            admittedPriorities = priorities,
            accountLimits = accounts.mapValues { limits },
            loadMultiples = services.mapValues { multiple },
            wantedStates = engines.mapValues { wanted },
        )
        val presets = FleetDocumentValidator.PRESET_NAMES.associateWith { if (it == active) preset else Preset() }
        FleetDocument(mapOf(RegionName("north") to zones), accounts, services, targets, presets, active)
    }

    private fun target(index: Int, service: ServiceName, flags: Int) = Target(
        service = service,
        address = "10.0.0.$index:80",
        zone = zones[index % zones.size],
        capacity = index + 1,
        checksFencing = flags and 1 != 0,
        deduplicates = flags and 2 != 0,
        resumesStreams = flags and 4 != 0,
        exportsCache = flags and 8 != 0,
        leaving = flags and 16 != 0,
    )
}
