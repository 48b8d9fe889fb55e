package io.reedmast.settings

/**
 * Intervals and time limits of the workers, in seconds (PROTOCOL, Workers and Leases).
 *
 * @property heartbeatIntervalS the nominal interval of heartbeats; a worker varies it by up to a quarter.
 * @property leaseS the time after its last answered heartbeat at which a worker kills its tasks.
 * @property cancelDeadlineS the time after a cancellation within which all tasks of the job must be gone.
 * @property gangTimeoutS how long a task waits for the rest of its gang.
 * @property peerLossDetectionS how soon the other tasks of a gang notice that one of them is gone.
 */
data class WorkerRules(
    val heartbeatIntervalS: Double,
    val leaseS: Double,
    val cancelDeadlineS: Double,
    val gangTimeoutS: Double = DEFAULT_GANG_TIMEOUT_S,
    val peerLossDetectionS: Double = DEFAULT_PEER_LOSS_DETECTION_S,
) {
    internal companion object {
        const val DEFAULT_GANG_TIMEOUT_S = 50.0
        const val DEFAULT_PEER_LOSS_DETECTION_S = 5.0
    }
}
