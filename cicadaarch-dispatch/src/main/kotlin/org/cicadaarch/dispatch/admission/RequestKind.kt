package org.cicadaarch.dispatch.admission

import org.cicadaarch.dispatch.request.DispatchRequest

/**
 * The requests on the route named [route] with [priority].
 */
data class RequestKind(val route: String, val priority: Int) {
    companion object {
        /** The kind of [request]. */
        fun of(request: DispatchRequest) = RequestKind(request.route.name, request.priority)
    }
}
