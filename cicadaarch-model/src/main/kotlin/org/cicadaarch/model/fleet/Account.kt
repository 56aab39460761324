package org.cicadaarch.model.fleet

import kotlinx.serialization.Serializable

/**
 * A client account. When accounts compete for capacity, each gets a share in proportion to its [weight].
 */
@Serializable
data class Account(
    val credentials: List<CredentialHash>,
    val weight: Int = 1,
    val limits: AccountLimits = AccountLimits(),
)
