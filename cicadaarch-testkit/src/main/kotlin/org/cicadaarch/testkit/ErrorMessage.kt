package org.cicadaarch.testkit

import kotlinx.serialization.Serializable

/**
 * The body of a stand-in's error answer. [code] is the gRPC status number where the service has one.
 */
@Serializable
internal data class ErrorMessage(val message: String, val code: Int = 0)
