package org.cicadaarch.testkit

/**
 * A write of [value], in base64, to [key]; [lease] is zero for none.
 */
internal data class StorePut(val key: String, val value: String, val lease: Long)
