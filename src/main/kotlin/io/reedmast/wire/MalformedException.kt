package io.reedmast.wire

/** Something on the wire, or in the store, that does not have the form it should have. */
class MalformedException(message: String, cause: Throwable? = null) : Exception(message, cause)
