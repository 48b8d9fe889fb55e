package io.reedmast.wire

/** A key of the store as a message describes it; a null [value] is a deletion. */
data class KeyedValue(val key: String, val value: Fields?, val version: Long)
