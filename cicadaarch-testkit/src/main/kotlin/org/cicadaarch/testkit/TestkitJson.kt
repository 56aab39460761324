package org.cicadaarch.testkit

import kotlinx.serialization.json.Json

/** The JSON format of the stand-ins: unknown fields are skipped and every field is written. */
internal val testkitJson = Json {
    ignoreUnknownKeys = true
    isLenient = true
    encodeDefaults = true
    explicitNulls = false
}
