package org.cicadaarch.forwarding.peer

import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.QueryStringEncoder
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.json.Json
import org.cicadaarch.dispatch.observation.ObservationReport
import org.cicadaarch.dispatch.observation.ObservationSummary
import org.cicadaarch.forwarding.TaskScheduler
import org.cicadaarch.forwarding.http.EndpointRequest
import org.cicadaarch.logging.LogEvents
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.Timestamp
import org.cicadaarch.store.HttpOutcome
import org.cicadaarch.store.StoreEra
import org.cicadaarch.store.UntrustedJson

/**
 * Sends polls of the router [self], with the era of the store that it knows, and reads the responses.
 */
internal class PeerClient(
    private val self: RouterAddress,
    private val transport: PeerTransport,
    private val scheduler: TaskScheduler,
    private val storeEra: StoreEra,
) {
    /** The time that the last poll and its response were on their way. */
    private var lastTransit = Duration.ZERO

    /**
     * Sends [poll] to [peer]. [onAnswer] is called once, in a task of the scheduler: with null if [peer] sends no
     * readable response within the poll's wait and [RESPONSE_TIMEOUT]. Whoever has to know of a later era that the
     * response states has heard of it by then.
     */
    fun send(poll: PeerPoll, peer: RouterAddress, onAnswer: (Answer?) -> Unit) {
        val sentAt = scheduler.now()
        transport.poll(peer, request(poll), poll.wait + RESPONSE_TIMEOUT) { outcome ->
            val response = read(peer, outcome)
            response?.storeEra?.let { storeEra.observe(it) }
            scheduler.execute { onAnswer(response?.let { Answer(it, summary = summaryOf(it, sentAt)) }) }
        }
    }

    private fun request(poll: PeerPoll): EndpointRequest {
        val query = QueryStringEncoder(PeerQuery.PATH)
        query.addParam(PeerQuery.FROM, self.toString())
        query.addParam(PeerQuery.WAIT, poll.wait.inWholeMilliseconds.toString())
        poll.scope?.let { query.addParam(PeerQuery.OBSERVATIONS, it.name) }
        query.addParam(PeerQuery.STORE_ERA, storeEra.current.toString())
        poll.versions.forEach { (prefix, version) ->
            query.addParam(prefix, version.revision.toString())
            query.addParam(PeerQuery.eraOf(prefix), version.era.toString())
        }
        return EndpointRequest(query.toString(), body = poll.report?.let { text(it) }.orEmpty())
    }

    /** The report takes about as long on its way as the last poll and its response did. */
    private fun text(report: ObservationReport): String =
        Json.encodeToString(ReportMessage.of(report.aged(lastTransit)))

    /** All time for which the poll was not held counts as the way of the summary in [response]. */
    private fun summaryOf(response: PeerResponse, sentAt: Timestamp): ObservationSummary? {
        val held = response.heldMillis ?: return null
        lastTransit = (scheduler.now() - sentAt - held.milliseconds).coerceAtLeast(Duration.ZERO)
        return response.observations?.toSummary()?.aged(lastTransit)
    }

    private fun read(peer: RouterAddress, outcome: HttpOutcome): PeerResponse? {
        val answered = (outcome as? HttpOutcome.Answered)?.takeIf { it.status == HttpResponseStatus.OK.code() }
        if (answered != null) return decode(peer, answered.body)
        LogEvents.debug("peer-silent") {
            "peer" to peer
            "outcome" to outcome
        }
        return null
    }

    private fun decode(peer: RouterAddress, body: String): PeerResponse? =
        UntrustedJson.decode(body) { PeerJson.decodeFromString<PeerResponse>(it) }.fold(
            ifLeft = { error ->
                LogEvents.warn("peer-answer-unreadable") {
                    "peer" to peer
                    "error" to error
                }
                null
            },
            ifRight = { it },
        )

    /** A [response], and the [summary] in it with the age that it has on arrival. */
    class Answer(val response: PeerResponse, val summary: ObservationSummary?)

    companion object {
        /** Time for the way of a poll and its response. */
        val RESPONSE_TIMEOUT = 500.milliseconds
    }
}
