package io.reedmast.wire

/** A key of the store with its value and version, as read from a message; a null [value] is a deletion. */
data class KeyedValue(val key: String, val value: Fields?, val version: Long)
