package org.cicadaarch.control.command

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.security.SecureRandom
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.cicadaarch.configuration.CredentialHasher
import org.cicadaarch.control.Connections
import org.cicadaarch.control.ControlError
import org.cicadaarch.control.Report

/** Hashes a secret for the document. Reads it from standard input, since other users can see arguments. */
internal class HashCredentialCommand(environment: Map<String, String>, private val readSecret: () -> String?) :
    ControlCommand("hash-credential", "Hash a secret from standard input for the document", environment) {
    private val iterations by option(ArgType.Int, "iterations", description = "Rounds of the hash")
        .default(DEFAULT_ITERATIONS)

    override fun run(connections: Connections): Either<ControlError, Report> {
        val secret = readSecret()
        return when {
            secret.isNullOrEmpty() -> ControlError.Usage("give the secret as a line on standard input").left()
            iterations <= 0 -> ControlError.Usage("--iterations must be above 0").left()
            else -> hash(secret).right()
        }
    }

    private fun hash(secret: String): Report {
        val salt = ByteArray(SALT_BYTES).also { SecureRandom().nextBytes(it) }
        val credential = CredentialHasher.hash(secret, salt, iterations)
        return Report(
            text = listOf(
                "- iterations: ${credential.iterations}",
                "  salt: \"${credential.salt}\"",
                "  hash: \"${credential.hash}\"",
            ).joinToString("\n"),
            json = buildJsonObject {
                put("iterations", credential.iterations)
                put("salt", credential.salt)
                put("hash", credential.hash)
            },
        )
    }

    private companion object {
        const val DEFAULT_ITERATIONS = 100_000
        const val SALT_BYTES = 16
    }
}
