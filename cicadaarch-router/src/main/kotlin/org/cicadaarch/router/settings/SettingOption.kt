package org.cicadaarch.router.settings

/**
 * One setting: its [flag] on the command line, its [help] text and its [default], null when it must be given or is off.
 */
data class SettingOption(val flag: String, val help: String, val default: String? = null) {
    /** The environment variable that sets it. */
    val variable: String get() = "CICADAARCH_" + flag.uppercase().replace('-', '_')
}
