package org.cicadaarch.model

/**
 * The result of handling one event in a reducer: the next [state] and the [effects] to carry out, in order.
 */
data class Step<out S, out E>(val state: S, val effects: List<E> = emptyList())
