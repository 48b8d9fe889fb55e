package io.reedmast.settings

/** Thrown if the settings cannot be used; operators see the message, which names the file or the field, as it is. */
class SettingsException(message: String, cause: Throwable? = null) : Exception(message, cause)
