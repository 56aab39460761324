package org.cicadaarch.experiment.policy

import kotlin.time.Duration.Companion.microseconds
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.ChatId
import org.cicadaarch.model.PresetName
import org.cicadaarch.model.Priority
import org.cicadaarch.model.RegionName
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.ZoneName
import org.cicadaarch.model.fleet.Account
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.fleet.Preset
import org.cicadaarch.model.fleet.Service
import org.cicadaarch.model.fleet.ServiceKind
import org.cicadaarch.model.fleet.Target

/**
 * The identities and the fleet document of [scenario].
 */
internal class FleetModel(private val scenario: Scenario) {
    private val routers = List(scenario.routers) { number ->
        RouterInfo(
            id = RouterId("router-%04d".format(number)),
            address = RouterAddress("192.0.2.1", port = number + 1),
            zone = zones[number % zones.size],
            region = region,
        )
    }
    private val numbers = routers.withIndex().associate { (number, router) -> router.id to number }

    val priority = Priority.STANDARD

    fun routerId(number: Int): RouterId = routers[number].id

    fun routerNumber(id: RouterId): Int = numbers.getValue(id)

    fun accountId(number: Int) = AccountId("account-%03d".format(number))

    fun chatId(number: Int) = ChatId("chat-%016x".format(number))

    fun view(self: Int, without: Int? = null) =
        RouterView(routerId(self), routers.filter { it.id != without?.let(::routerId) }.associateBy { it.id })

    fun document(engines: List<EngineModel>) = FleetDocument(
        regions = mapOf(region to zones),
        accounts = scenario.accounts.indices.associate { accountId(it) to Account(credentials = emptyList()) },
        services = mapOf(
            service to Service(ServiceKind.MODEL, scenario.timeAllowed.microseconds, scenario.loadMultiple),
        ),
        targets = engines.withIndex().associate { (number, engine) ->
            TargetId(engine.name) to Target(
                service = service,
                address = "192.0.2.2:${number + 1}",
                zone = zones[number % zones.size],
                capacity = engine.slots,
                leaving = !engine.open,
            )
        },
        presets = mapOf(preset to Preset()),
        activePreset = preset,
    )

    private companion object {
        val region = RegionName("region")
        val zones = List(3) { ZoneName("zone-$it") }
        val service = ServiceName("model")
        val preset = PresetName("ordinary")
    }
}
