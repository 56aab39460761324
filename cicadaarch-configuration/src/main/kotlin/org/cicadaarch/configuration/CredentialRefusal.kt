package org.cicadaarch.configuration

/**
 * Why a client's token was rejected.
 */
enum class CredentialRefusal {
    /** The token does not have the form `account:secret`. */
    MALFORMED,

    /** The token names an account that the configuration does not define. */
    UNKNOWN_ACCOUNT,

    /** The secret matches none of the account's credentials. */
    WRONG_SECRET,
}
