package io.reedmast.cli

import io.reedmast.rollout.RolloutOptions
import io.reedmast.settings.Settings
import io.reedmast.settings.Tuning

/**
 * The options that the command line gives a controller.
 *
 * @property exitAfterS seconds after which the process ends with exit code 0; null: it runs until it is killed.
 */
class ControllerOptions(
    val settings: Settings,
    val tuning: Tuning,
    val rollout: RolloutOptions,
    val exitAfterS: Double?,
)

/** Thrown if a controller cannot start with the settings that it was given; the message gives the reason. */
class StartupException(message: String, cause: Throwable) : Exception(message, cause)
