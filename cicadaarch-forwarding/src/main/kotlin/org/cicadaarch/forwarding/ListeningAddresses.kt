package org.cicadaarch.forwarding

import org.cicadaarch.model.RouterAddress

/**
 * The addresses at which a running router listens: for [clients], for readiness checks and for other routers. Ports
 * that the settings leave to the system are the ones in use.
 */
data class ListeningAddresses(val clients: RouterAddress, val readiness: RouterAddress, val peers: RouterAddress)
