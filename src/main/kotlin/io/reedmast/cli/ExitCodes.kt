package io.reedmast.cli

/** The non-zero exit codes of the program. */
object ExitCodes {
    /** A command was refused, or a controller is not ready to be stopped. */
    const val REFUSED = 1

    /** Flags or settings cannot be used. */
    const val USAGE = 2

    /** The rollout state of the cluster allows records that this version cannot read. */
    const val INCOMPATIBLE = 3
}
