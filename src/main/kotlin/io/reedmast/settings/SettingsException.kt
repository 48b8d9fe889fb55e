package io.reedmast.settings

/** The settings cannot be used; the message names the file or the field, and goes to the operator as it is. */
class SettingsException(message: String, cause: Throwable? = null) : Exception(message, cause)
