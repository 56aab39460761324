package org.cicadaarch.router.caller

import java.security.SecureRandom
import java.util.concurrent.atomic.AtomicLong
import org.cicadaarch.model.RequestId

/**
 * Makes request identities that no other router makes: a random prefix per process and a counter.
 */
class RequestIdSource {
    private val prefix = java.lang.Long.toHexString(SecureRandom().nextLong())
    private val counter = AtomicLong()

    /** A new identity. */
    fun next(): RequestId = RequestId("$prefix-${counter.incrementAndGet()}")
}
