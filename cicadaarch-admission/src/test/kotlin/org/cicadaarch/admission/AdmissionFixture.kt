package org.cicadaarch.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.ChatId
import org.cicadaarch.model.PresetName
import org.cicadaarch.model.Priority
import org.cicadaarch.model.RegionName
import org.cicadaarch.model.RequestId
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

internal object AdmissionFixture {
    val self = RouterId("router-1")
    val other = RouterId("router-2")
    private val zone = ZoneName("zone")
    private val region = RegionName("region")
    private val service = ServiceName("model")
    val group = LoadGroup(service, region)

    fun target(number: Int) = TargetId("engine-$number")

    fun view(self: RouterId, routers: Set<RouterId>) = RouterView(
        self = self,
        routers = routers.associateWith { RouterInfo(it, RouterAddress("192.0.2.1", 1), zone, region) },
    )

    fun fleet(targets: Int, capacity: Int, leaving: Set<Int> = emptySet(), weights: Map<String, Int> = emptyMap()) =
        FleetDocument(
            regions = mapOf(region to listOf(zone)),
            accounts = weights.entries.associate { AccountId(it.key) to Account(emptyList(), it.value) },
            services = mapOf(service to Service(ServiceKind.MODEL)),
            targets = (1..targets).associate {
                target(it) to Target(service, "192.0.2.2:$it", zone, capacity, leaving = it in leaving)
            },
            presets = mapOf(PresetName("ordinary") to Preset()),
            activePreset = PresetName("ordinary"),
        )

    fun attempt(number: Int) = AttemptId(RequestId("request-$number"), 1)

    fun demand(
        account: String = "account",
        chat: String? = null,
        timeAllowed: Duration = 10.seconds,
        isReturning: Boolean = false,
        redirects: Int = 0,
    ) = PermitDemand(
        account = AccountId(account),
        chat = chat?.let(::ChatId),
        priority = Priority.STANDARD,
        timeAllowed = timeAllowed,
        promptTokens = 1_000,
        outputTokens = 100,
        isReturning = isReturning,
        redirects = redirects,
    )
}
