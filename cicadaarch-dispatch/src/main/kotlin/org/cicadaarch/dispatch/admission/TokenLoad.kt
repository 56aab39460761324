package org.cicadaarch.dispatch.admission

/**
 * The tokens of a router's own requests in flight at a target: [unread] of their prompts that the target still has to
 * read, and [held] of prompts and outputs that it keeps in memory.
 */
data class TokenLoad(val unread: Int = 0, val held: Int = 0) {
    /** The sum of this load and [other]. */
    operator fun plus(other: TokenLoad) = TokenLoad(unread + other.unread, held + other.held)

    /** This load without [other], which is part of it. */
    operator fun minus(other: TokenLoad) = TokenLoad(unread - other.unread, held - other.held)

    companion object {
        /** No tokens. */
        val NONE = TokenLoad()
    }
}
