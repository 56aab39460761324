package org.cicadaarch.store

import kotlinx.serialization.json.Json

/** The JSON format of the platform's services: unknown fields are ignored, and default values are not written. */
internal val platformJson = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
}
