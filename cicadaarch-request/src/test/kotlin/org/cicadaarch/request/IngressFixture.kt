package org.cicadaarch.request

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.cicadaarch.admission.AdmissionMessage
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.AttemptId
import org.cicadaarch.model.ChatId
import org.cicadaarch.model.Fingerprint
import org.cicadaarch.model.Idempotency
import org.cicadaarch.model.PresetName
import org.cicadaarch.model.Priority
import org.cicadaarch.model.RegionName
import org.cicadaarch.model.RequestHead
import org.cicadaarch.model.RequestId
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.RouterId
import org.cicadaarch.model.RouterInfo
import org.cicadaarch.model.RouterView
import org.cicadaarch.model.ServiceName
import org.cicadaarch.model.TargetId
import org.cicadaarch.model.Timestamp
import org.cicadaarch.model.ZoneName
import org.cicadaarch.model.fleet.Account
import org.cicadaarch.model.fleet.FleetDocument
import org.cicadaarch.model.fleet.Preset
import org.cicadaarch.model.fleet.Service
import org.cicadaarch.model.fleet.ServiceKind
import org.cicadaarch.model.fleet.Target

/**
 * One ingress with three targets and a clock that tests advance; keeps the effects of the last event.
 */
internal class IngressFixture(resumesStreams: Boolean = true, settings: IngressSettings = IngressSettings()) {
    private val reducer = IngressReducer(settings)
    var now = Timestamp(0)
    var effects: List<IngressEffect> = emptyList()
    var state = IngressState(view = VIEW, fleet = fleet(resumesStreams))
        private set

    fun send(event: IngressEvent): List<IngressEffect> {
        val step = reducer.reduce(state, event, now)
        state = step.state
        effects = step.effects
        return effects
    }

    fun tickAfter(duration: Duration): List<IngressEffect> {
        now += duration
        return send(IngressEvent.Tick)
    }

    /** Grants the permit that the last effects request. */
    fun grant(): IngressEffect.StartAttempt {
        val request = permitRequest()
        return send(
            IngressEvent.PermitAnswered(AdmissionMessage.PermitGranted(request.attempt, request.target, 10.seconds)),
        ).filterIsInstance<IngressEffect.StartAttempt>().single()
    }

    /** Redirects the permit request among the last effects to another target. */
    fun redirect(hint: TargetId? = null) {
        val request = permitRequest()
        send(IngressEvent.PermitAnswered(AdmissionMessage.PermitRedirected(request.attempt, request.target, hint)))
    }

    fun fail(attempt: AttemptId, failure: AttemptFailure, delivered: Int = 0) =
        send(IngressEvent.AttemptFailed(attempt, failure, delivered))

    fun permitRequest(): AdmissionMessage.PermitRequest = effects
        .filterIsInstance<IngressEffect.SendToOwner>()
        .firstNotNullOf { it.message as? AdmissionMessage.PermitRequest }

    fun ending(): IngressEffect.EndRequest? = effects.filterIsInstance<IngressEffect.EndRequest>().singleOrNull()

    companion object {
        private val SELF = RouterId("router-1")
        private val ZONE = ZoneName("zone-a")
        private val REGION = RegionName("region")
        private val SERVICE = ServiceName("model")
        val REQUEST = RequestId("request-1")
        private val VIEW = RouterView(
            self = SELF,
            routers = mapOf(SELF to RouterInfo(SELF, RouterAddress("127.0.0.1", 1), ZONE, REGION)),
        )

        fun head(
            idempotency: Idempotency = Idempotency.Idempotent,
            priority: Priority = Priority.STANDARD,
            service: ServiceName = SERVICE,
        ): RequestHead = RequestHead(
            id = REQUEST,
            account = AccountId("account"),
            service = service,
            chat = ChatId("chat"),
            turn = 1,
            priority = priority,
            idempotency = idempotency,
            timeAllowed = 2.seconds,
            promptTokens = 100,
            outputTokens = 100,
            fingerprint = Fingerprint(1),
            streaming = true,
        )

        private fun fleet(resumesStreams: Boolean): FleetDocument = FleetDocument(
            regions = mapOf(REGION to listOf(ZONE)),
            accounts = mapOf(AccountId("account") to Account(credentials = emptyList())),
            services = mapOf(SERVICE to Service(ServiceKind.MODEL)),
            targets = (1..3).associate { number ->
                TargetId("engine-$number") to Target(
                    service = SERVICE,
                    address = "127.0.0.1:${9_000 + number}",
                    zone = ZONE,
                    capacity = 4,
                    resumesStreams = resumesStreams,
                )
            },
            presets = mapOf(
                PresetName("ordinary") to
                    Preset(admittedPriorities = setOf(Priority.INTERACTIVE, Priority.STANDARD)),
            ),
            activePreset = PresetName("ordinary"),
        )
    }
}
