package org.cicadaarch.testkit

/**
 * The text that an engine stand-in answers: a pure function of the request body and the token's number, so that an
 * answer can be checked to be whole and to belong to its request.
 */
object AnswerText {
    /** Token [number], counted from zero, of the answer to the body named by [bodyHash]. */
    fun token(bodyHash: String, number: Int): String {
        val seed = bodyHash.take(SEED_DIGITS).toULong(radix = 16).toLong()
        val mixed = mix(seed + number * GOLDEN_GAMMA)
        return (mixed ushr UNUSED_BITS).toString(radix = 36) + " "
    }

    /** Tokens [from] to before [until] of the answer to [body]. */
    fun text(body: String, from: Int = 0, until: Int): String {
        val bodyHash = BodyHash.of(body)
        return (from until until).joinToString(separator = "") { token(bodyHash, it) }
    }

    // The finalizer of SplitMix64.
    private fun mix(value: Long): Long {
        val first = (value xor (value ushr 30)) * -0x40a7b892e31b1a47L
        val second = (first xor (first ushr 27)) * -0x6b2fb644ecceee15L
        return second xor (second ushr 31)
    }

    private const val SEED_DIGITS = 16
    private const val UNUSED_BITS = 40
    private const val GOLDEN_GAMMA = -0x61c8864680b583ebL
}
