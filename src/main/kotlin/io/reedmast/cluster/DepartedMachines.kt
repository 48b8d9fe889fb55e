package io.reedmast.cluster

import io.reedmast.ports.Clock
import io.reedmast.settings.Settings

/** Machines that have left all shards lately: the cloud's lists and late heartbeats may still show them. */
internal class DepartedMachines(settings: Settings, private val clock: Clock) {
    private val departedAt = HashMap<String, Long>()

    /** Late copies of a machine's heartbeats come for longer than its lease; lists show it for twice their lag. */
    private val retentionMs = (
        (settings.cloudLimits.listLagS + settings.workers.leaseS) * RETENTION_MS_PER_S +
            BASE_RETENTION_MS
        ).toLong()

    operator fun contains(machineName: String): Boolean = departedAt.containsKey(machineName)

    /** The machine has left all shards. */
    fun add(machineName: String) {
        departedAt[machineName] = clock.now()
    }

    /** The machine belongs to a shard. */
    fun remove(machineName: String) {
        departedAt.remove(machineName)
    }

    /** Forgets the machines that left long before [now]. */
    fun expire(now: Long) {
        departedAt.values.removeIf { now - it > retentionMs }
    }

    private companion object {
        /** Three times as long as the settings say, in milliseconds. */
        const val RETENTION_MS_PER_S = 3_000
        const val BASE_RETENTION_MS = 60_000
    }
}
