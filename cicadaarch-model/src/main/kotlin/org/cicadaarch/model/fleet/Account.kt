package org.cicadaarch.model.fleet

import kotlinx.serialization.Serializable

/**
 * A client account. [weight] is its share under contention, relative to the other accounts' weights.
 */
@Serializable
data class Account(
    val credentials: List<CredentialHash>,
    val weight: Int = 1,
    val limits: AccountLimits = AccountLimits(),
)
