package io.reedmast.cluster

import io.reedmast.ports.Clock
import io.reedmast.settings.Settings

/** Machines that were recently removed from all shards. The cloud's lists and late heartbeats may still show them. */
internal class DepartedMachines(settings: Settings, private val clock: Clock) {
    private val departedAt = HashMap<String, Long>()

    /**
     * Late copies of a machine's heartbeats arrive for longer than its lease, and the cloud's lists show the machine
     * for twice their lag.
     */
    private val retentionMs =
        ((settings.cloudLimits.listLagS + settings.workers.leaseS) * RETENTION_MS_PER_S + BASE_RETENTION_MS).toLong()

    operator fun contains(machineName: String): Boolean = departedAt.containsKey(machineName)

    /** Records that the machine has been removed from all shards. */
    fun add(machineName: String) {
        departedAt[machineName] = clock.now()
    }

    /** Forgets the machine, since it belongs to a shard now. */
    fun remove(machineName: String) {
        departedAt.remove(machineName)
    }

    /** Forgets the machines whose retention time is over at [now]. */
    fun expire(now: Long) {
        departedAt.values.removeIf { now - it > retentionMs }
    }

    private companion object {
        /** Retention in milliseconds per second of the configured times: three times as long as these. */
        const val RETENTION_MS_PER_S = 3_000
        const val BASE_RETENTION_MS = 60_000
    }
}
