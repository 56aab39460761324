package org.cicadaarch.configuration

/**
 * Why a caller's token was refused.
 */
enum class CredentialRefusal {
    /** The token has not the form `account:secret`. */
    MALFORMED,

    /** The configuration has no such account. */
    UNKNOWN_ACCOUNT,

    /** No credential of the account matches the secret. */
    WRONG_SECRET,
}
