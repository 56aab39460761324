package org.cicadaarch.router.caller

/**
 * Tells a caller's connection that the router drains: it closes if it carries no request.
 */
internal object DrainIdle
