package io.reedmast.cli

import io.reedmast.rollout.RolloutOptions
import io.reedmast.settings.Settings
import io.reedmast.settings.Tuning

/**
 * What the command line asks of a controller.
 *
 * @property exitAfterS after how many seconds the process ends with exit code 0; null if it runs until it is killed
 */
class ControllerOptions(
    val settings: Settings,
    val tuning: Tuning,
    val rollout: RolloutOptions,
    val exitAfterS: Double?,
)

/** A controller cannot start with the settings that it was given; the message says why. */
class StartupException(message: String, cause: Throwable) : Exception(message, cause)
