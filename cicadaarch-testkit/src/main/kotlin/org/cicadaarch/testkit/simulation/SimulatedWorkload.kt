package org.cicadaarch.testkit.simulation

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.ChatId
import org.cicadaarch.model.Fingerprint
import org.cicadaarch.model.Idempotency
import org.cicadaarch.model.PresetName
import org.cicadaarch.model.Priority
import org.cicadaarch.model.RegionName
import org.cicadaarch.model.RequestHead
import org.cicadaarch.model.RequestId
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
 * The configuration and the requests of simulated runs.
 */
object SimulatedWorkload {
    private val SERVICE = ServiceName("model")

    /** The fingerprint of requests that crash each target that runs them. */
    val CRASHING: Fingerprint = Fingerprint(666)

    /** One model with [targets] engines that run [capacity] requests each. */
    fun fleet(targets: Int = 6, capacity: Int = 4): FleetDocument = FleetDocument(
        regions = mapOf(RegionName("region") to listOf(ZoneName("zone"))),
        accounts = mapOf(AccountId("account") to Account(credentials = emptyList())),
        services = mapOf(SERVICE to Service(ServiceKind.MODEL)),
        targets = (1..targets).associate { number ->
            TargetId("engine-$number") to Target(
                service = SERVICE,
                address = "127.0.0.1:${FIRST_PORT + number}",
                zone = ZoneName("zone"),
                capacity = capacity,
            )
        },
        presets = mapOf(PresetName("ordinary") to Preset()),
        activePreset = PresetName("ordinary"),
    )

    /** Request [number], of one of forty chats. */
    fun head(
        number: Int,
        idempotency: Idempotency = Idempotency.Idempotent,
        fingerprint: Fingerprint = Fingerprint(number.toLong()),
        timeAllowed: Duration = 3.seconds,
    ): RequestHead = RequestHead(
        id = RequestId("request-$number"),
        account = AccountId("account"),
        service = SERVICE,
        chat = ChatId("chat-${number % CHATS}"),
        turn = 1,
        priority = Priority.STANDARD,
        idempotency = idempotency,
        timeAllowed = timeAllowed,
        promptTokens = 100,
        outputTokens = 10,
        fingerprint = fingerprint,
        streaming = false,
    )

    private const val FIRST_PORT = 9_000
    private const val CHATS = 40
}
