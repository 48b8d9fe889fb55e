package io.reedmast.kvstore

/** Requires that a key still has this [version]; 0 requires that it does not exist. */
data class Precondition(val path: String, val version: Long)
