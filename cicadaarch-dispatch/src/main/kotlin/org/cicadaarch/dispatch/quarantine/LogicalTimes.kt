package org.cicadaarch.dispatch.quarantine

/** Records that [trait] has at least the logical time [time]. */
internal fun MutableMap<RequestTrait, Long>.raise(trait: RequestTrait, time: Long) {
    this[trait] = maxOf(time, this[trait] ?: time)
}
