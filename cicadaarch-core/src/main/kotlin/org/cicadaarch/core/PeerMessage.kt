package org.cicadaarch.core

import kotlinx.serialization.Serializable
import org.cicadaarch.admission.AdmissionMessage
import org.cicadaarch.model.RouterId

/**
 * A message from one router to another. Delivery may fail, repeat or reorder; the roles allow for it.
 */
@Serializable
sealed class PeerMessage {
    /** The first message on a connection: who speaks. */
    @Serializable
    data class Hello(val sender: RouterId) : PeerMessage()

    /** From the ingress of a request to an admission owner. */
    @Serializable
    data class ToAdmissionOwner(val message: AdmissionMessage) : PeerMessage()

    /** From an admission owner to the ingress of a request. */
    @Serializable
    data class ToIngress(val message: AdmissionMessage) : PeerMessage()

    /** Keeps a connection alive and proves that it still carries data. */
    @Serializable
    data class Heartbeat(val number: Long) : PeerMessage()
}
