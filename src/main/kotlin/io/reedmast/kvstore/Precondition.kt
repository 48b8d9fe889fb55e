package io.reedmast.kvstore

/** The condition that a key still has this version; 0: that it does not exist. */
data class Precondition(val path: String, val version: Long)
