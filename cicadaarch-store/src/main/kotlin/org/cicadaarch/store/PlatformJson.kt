package org.cicadaarch.store

import kotlinx.serialization.json.Json

/** The JSON format of the platform's services: unknown fields are skipped and defaults left out. */
internal val platformJson = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
}
