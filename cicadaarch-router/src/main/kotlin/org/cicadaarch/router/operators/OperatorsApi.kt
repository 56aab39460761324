package org.cicadaarch.router.operators

import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.cicadaarch.admission.TargetOwnership
import org.cicadaarch.core.RouterState
import org.cicadaarch.model.AccountId
import org.cicadaarch.model.ChatId
import org.cicadaarch.model.ServiceName
import org.cicadaarch.request.TargetPreferences
import org.cicadaarch.router.observation.RouterMetrics

/**
 * What operators can ask of a router: `/health`, `/ready`, `/metrics`, `/status`, `/explain` and, by POST, `/drain`.
 */
class OperatorsApi(
    private val state: () -> RouterState,
    private val metrics: RouterMetrics,
    private val openRequests: () -> Int,
    private val statusWanted: () -> Unit,
    private val isDraining: () -> Boolean,
    private val drain: () -> Unit,
) {
    /** The answer to one request. */
    fun answer(method: String, path: String, parameters: Map<String, String>): OperatorsAnswer = when {
        path == "/health" -> OperatorsAnswer.json(OK, """{"healthy":true}""")

        path == "/ready" -> ready()

        path == "/metrics" -> OperatorsAnswer(OK, METRICS_TYPE, metrics.text())

        path == "/status" -> OperatorsAnswer.json(OK, status())

        path == "/explain" -> explain(parameters)

        path == "/drain" && method == "POST" -> {
            drain()
            OperatorsAnswer.json(ACCEPTED, """{"draining":true}""")
        }

        else -> OperatorsAnswer.json(NOT_FOUND, """{"error":"no such path"}""")
    }

    private fun ready(): OperatorsAnswer {
        val current = state()
        val ready = current.ingress.fleet != null && !isDraining()
        return OperatorsAnswer.json(if (ready) OK else UNAVAILABLE, """{"ready":$ready}""")
    }

    private fun status(): String {
        statusWanted()
        val current = state()
        return buildJsonObject {
            put("router", current.view.self.value)
            put("revision", current.revision.value)
            put("preset", current.ingress.fleet?.activePreset?.value)
            put("openRequests", openRequests())
            putJsonArray("routers") {
                current.view.routers.values.forEach { router ->
                    addJsonObject {
                        put("router", router.id.value)
                        put("address", router.address.toString())
                        put("zone", router.zone.value)
                        put("revision", current.configuration.revisions[router.id]?.value)
                        put("leaving", router.leaving)
                    }
                }
            }
            putJsonArray("targets") {
                current.ingress.fleet?.targets.orEmpty().forEach { (id, target) ->
                    addJsonObject {
                        put("target", id.value)
                        put("service", target.service.value)
                        put("leaving", target.leaving)
                        put("owner", TargetOwnership.ownerOf(id, current.view)?.value)
                        put("permits", current.admission.inFlight(id))
                    }
                }
            }
        }.toString()
    }

    private fun explain(parameters: Map<String, String>): OperatorsAnswer {
        val fleet = state().ingress.fleet
            ?: return OperatorsAnswer.json(UNAVAILABLE, """{"error":"no configuration is in force"}""")
        val account = parameters["account"]?.let(::AccountId)?.takeIf { it in fleet.accounts }
            ?: return OperatorsAnswer.json(BAD_REQUEST, """{"error":"account must be a configured client account"}""")
        val service = parameters["service"]?.let(::ServiceName)?.takeIf { it in fleet.services }
            ?: return OperatorsAnswer.json(BAD_REQUEST, """{"error":"service must be a configured service"}""")
        val chat = parameters["chat"]?.let(::ChatId)
            ?: return OperatorsAnswer.json(BAD_REQUEST, """{"error":"chat must be given"}""")
        val view = state().view
        val region = view.routers[view.self]?.region
        val limits = fleet.preset.accountLimits[account] ?: fleet.accounts.getValue(account).limits
        return OperatorsAnswer.json(
            OK,
            buildJsonObject {
                put("account", account.value)
                put("service", service.value)
                put("chat", chat.value)
                put("preset", fleet.activePreset.value)
                put("region", region?.value)
                put("limits", limits.toString())
                put("reason", "weighted rendezvous hash of the chat over the service's targets, own region first")
                putJsonArray("order") {
                    TargetPreferences.forChat(account, service, chat, fleet, region).forEach { target ->
                        addJsonObject {
                            put("target", target.value)
                            put("owner", TargetOwnership.ownerOf(target, view)?.value)
                            put("inFlight", state().admission.inFlight(target))
                        }
                    }
                }
            }.toString(),
        )
    }

    private companion object {
        const val OK = 200
        const val ACCEPTED = 202
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val UNAVAILABLE = 503
        const val METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
    }
}
