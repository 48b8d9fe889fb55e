package io.reedmast.cli

/** The exit codes of the program that are not 0. */
object ExitCodes {
    /** An act was refused, or a controller is not ready to be stopped. */
    const val REFUSED = 1

    /** Flags or settings that cannot be used. */
    const val USAGE = 2

    /** The cluster has been rolled out to something that this version cannot read. */
    const val INCOMPATIBLE = 3
}
