package io.reedmast.settings

/**
 * How workers behave, in seconds (PROTOCOL, Workers and Leases).
 *
 * @property heartbeatIntervalS the nominal interval of heartbeats; a worker varies it by up to a quarter.
 * @property leaseS how long after its last answered heartbeat a worker kills its tasks.
 * @property cancelDeadlineS within what time of a cancellation all tasks of the job must be gone.
 * @property gangTimeoutS how long a task waits for the rest of its gang.
 * @property peerLossDetectionS how soon the tasks of a gang notice that one is gone.
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
