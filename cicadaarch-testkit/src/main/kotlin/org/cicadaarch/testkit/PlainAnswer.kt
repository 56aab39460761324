package org.cicadaarch.testkit

import kotlinx.serialization.Serializable

/**
 * The answer of a plain service. [bodyHash] is the request body's SHA-256 in hexadecimal; [number] counts the runs.
 */
@Serializable
data class PlainAnswer(val service: String, val path: String, val bodyHash: String, val number: Int)
