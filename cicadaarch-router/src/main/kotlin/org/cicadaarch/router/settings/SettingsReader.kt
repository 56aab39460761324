package org.cicadaarch.router.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import org.cicadaarch.model.RegionName
import org.cicadaarch.model.RouterAddress
import org.cicadaarch.model.ZoneName

/**
 * Reads a router's settings from flags, then from environment variables `CICADAARCH_…`, then from the defaults.
 */
class SettingsReader(private val environment: Map<String, String>) {
    /** The settings, or every error in them at once, one line each. */
    fun read(arguments: Array<String>): Either<List<String>, RouterSettings> {
        val parser = ArgParser(programName = "cicadaarch-router", useDefaultHelpShortName = true)
        val flags = OPTIONS.associateWith { option ->
            parser.option(ArgType.String, fullName = option.flag, description = option.help)
        }
        val values = flags.mapValues { (_, flag) -> lazy { flag.value } }
        parser.parse(arguments)
        return SettingsValues(values.mapValues { (option, value) -> value.value ?: fallback(option) }).settings()
    }

    private fun fallback(option: SettingOption): String? = environment[option.variable] ?: option.default

    private class SettingsValues(private val values: Map<SettingOption, String?>) {
        private val errors = mutableListOf<String>()

        fun settings(): Either<List<String>, RouterSettings> {
            val settings = RouterSettings(
                callerAddress = address(CALLER_ADDRESS, minPort = 0),
                operatorsAddress = address(OPERATORS_ADDRESS, minPort = 0),
                peerAddress = address(PEER_ADDRESS, minPort = 0),
                zone = ZoneName(text(ZONE)),
                region = RegionName(text(REGION)),
                storeAddress = address(STORE),
                vmListAddress = address(VM_LIST),
                traceEndpoint = values[TRACE_ENDPOINT],
                drainNotice = duration(DRAIN_NOTICE),
                drainTimeout = duration(DRAIN_TIMEOUT),
                maximumConnections = number(MAXIMUM_CONNECTIONS, 1..MOST_CONNECTIONS),
                maximumHeadBytes = number(MAXIMUM_HEAD_BYTES, LEAST_HEAD_BYTES..MOST_HEAD_BYTES),
                maximumBodyBytes = number(MAXIMUM_BODY_BYTES, 1..MOST_BODY_BYTES),
            )
            return if (errors.isEmpty()) settings.right() else errors.left()
        }

        private fun text(option: SettingOption): String =
            values[option]?.takeIf { it.isNotBlank() } ?: wrong(option, "a name is required", "")

        private fun address(option: SettingOption, minPort: Int = 1): RouterAddress {
            val parts = values[option].orEmpty().split(':')
            val port = parts.getOrNull(1)?.toIntOrNull()
            return if (parts.size == 2 && parts[0].isNotBlank() && port in minPort..MOST_PORT) {
                RouterAddress(parts[0], checkNotNull(port))
            } else {
                wrong(option, "allowed is host:port with a port from $minPort to $MOST_PORT", RouterAddress("", 0))
            }
        }

        private fun duration(option: SettingOption): Duration = Duration.parseOrNull(values[option].orEmpty())
            ?.takeIf { it.isPositive() }
            ?: wrong(option, "allowed is a positive duration such as 30s", 1.seconds)

        private fun number(option: SettingOption, allowed: IntRange): Int = values[option]?.toIntOrNull()
            ?.takeIf { it in allowed }
            ?: wrong(option, "allowed is a whole number from ${allowed.first} to ${allowed.last}", allowed.first)

        private fun <T> wrong(option: SettingOption, allowed: String, substitute: T): T {
            errors += "--${option.flag} (${option.variable}): \"${values[option].orEmpty()}\": $allowed"
            return substitute
        }
    }

    companion object {
        private const val MOST_PORT = 65_535
        private const val MOST_CONNECTIONS = 1_000_000
        private const val LEAST_HEAD_BYTES = 1_024
        private const val MOST_HEAD_BYTES = 1_048_576
        private const val MOST_BODY_BYTES = 268_435_456

        private val CALLER_ADDRESS =
            SettingOption("caller-address", "where callers connect, host:port; port 0: any free one")
        private val OPERATORS_ADDRESS =
            SettingOption("operators-address", "where operators connect, host:port; port 0: any free one")
        private val PEER_ADDRESS =
            SettingOption("peer-address", "where other routers connect, host:port; port 0: any free one")
        private val ZONE = SettingOption("zone", "this VM's availability zone")
        private val REGION = SettingOption("region", "this VM's region")
        private val STORE = SettingOption("store", "the platform's key-value service, host:port")
        private val VM_LIST = SettingOption("vm-list", "the platform's list of VMs, host:port")
        private val TRACE_ENDPOINT = SettingOption("trace-endpoint", "URL for OTLP over HTTP; off when unset")
        private val DRAIN_NOTICE = SettingOption(
            "drain-notice",
            "time in which a stopping router is not ready but still serves, for the balancer to see",
            default = "3s",
        )
        private val DRAIN_TIMEOUT = SettingOption("drain-timeout", "longest graceful shutdown", default = "30s")
        private val MAXIMUM_CONNECTIONS =
            SettingOption("maximum-connections", "callers' connections at once", default = "20000")
        private val MAXIMUM_HEAD_BYTES =
            SettingOption("maximum-head-bytes", "longest request head, bytes", default = "16384")
        private val MAXIMUM_BODY_BYTES =
            SettingOption("maximum-body-bytes", "longest request body, bytes", default = "8388608")

        /** Every setting, in the order of the help text. */
        val OPTIONS: List<SettingOption> = listOf(
            CALLER_ADDRESS,
            OPERATORS_ADDRESS,
            PEER_ADDRESS,
            ZONE,
            REGION,
            STORE,
            VM_LIST,
            TRACE_ENDPOINT,
            DRAIN_NOTICE,
            DRAIN_TIMEOUT,
            MAXIMUM_CONNECTIONS,
            MAXIMUM_HEAD_BYTES,
            MAXIMUM_BODY_BYTES,
        )
    }
}
