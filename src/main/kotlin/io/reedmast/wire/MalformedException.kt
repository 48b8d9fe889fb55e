package io.reedmast.wire

/** Thrown if a message or a stored value does not have the required form. */
class MalformedException(message: String, cause: Throwable? = null) : Exception(message, cause)
