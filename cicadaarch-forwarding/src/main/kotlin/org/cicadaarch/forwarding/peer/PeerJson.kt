package org.cicadaarch.forwarding.peer

import kotlinx.serialization.json.Json

/** Reads what other routers send, which may be of a later version with further fields. */
internal val PeerJson = Json { ignoreUnknownKeys = true }
