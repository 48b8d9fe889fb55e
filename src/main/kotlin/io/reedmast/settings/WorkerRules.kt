package io.reedmast.settings

/**
 * How workers behave, in seconds (PROTOCOL, Workers and Leases).
 *
 * @property reportS the nominal interval of heartbeats; a worker varies it by up to a quarter.
 * @property leaseS how long after its last answered heartbeat a worker kills its tasks.
 * @property cancelS within what time of a cancellation all tasks of the job must be gone.
 * @property gangWaitS how long a task waits for the rest of its gang.
 * @property gangPeerS how soon the tasks of a gang notice that one is gone.
 */
data class WorkerRules(
    val reportS: Double,
    val leaseS: Double,
    val cancelS: Double,
    val gangWaitS: Double = DEFAULT_GANG_WAIT_S,
    val gangPeerS: Double = DEFAULT_GANG_PEER_S,
) {
    internal companion object {
        const val DEFAULT_GANG_WAIT_S = 50.0
        const val DEFAULT_GANG_PEER_S = 5.0
    }
}
