package org.cicadaarch.router.operators

/**
 * An answer of the operators' endpoint.
 */
class OperatorsAnswer(val status: Int, val contentType: String, val body: ByteArray) {
    companion object {
        /** A JSON answer. */
        fun json(status: Int, text: String): OperatorsAnswer =
            OperatorsAnswer(status, "application/json", text.toByteArray())
    }
}
