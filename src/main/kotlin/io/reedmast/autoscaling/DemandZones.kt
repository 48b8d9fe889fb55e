package io.reedmast.autoscaling

import io.reedmast.model.Job
import io.reedmast.model.ShardState
import io.reedmast.placement.zonesAllowedByRules

/** Finds the zones in which new machines for a job would be useful. One instance serves one calculation. */
internal class DemandZones(private val shardState: ShardState) {
    private val allZones: Set<String> = shardState.machineTypes.flatMapTo(LinkedHashSet()) { it.zones }

    /**
     * The zone in which new capacity for the job must be, if its other tasks or its own settings allow only one, or the
     * zone chosen for a gang that must run in one zone; otherwise null.
     */
    fun onlyZoneFor(job: Job): String? = zonesAllowedByRules(job, allZones)?.singleOrNull() ?: zoneForGang(job)

    /** The zones in which new capacity for the job is useful, which may be none; null if they are not restricted. */
    fun allowedZonesFor(job: Job): Set<String>? {
        val allowedByRules = zonesAllowedByRules(job, allZones)
        if (allowedByRules != null || !job.spec.isGang) return allowedByRules
        return zoneForGang(job)?.let { setOf(it) }
    }

    /**
     * The zone to request if new capacity is useful only in [allowedZones], which must not be empty: the one with the
     * fewest machines of the shard. Without such a restriction, the job's own zone; null if any zone will do.
     */
    fun zoneToRequest(job: Job, allowedZones: Set<String>?): String? {
        if (allowedZones == null || allowedZones.size == allZones.size) return job.spec.zone
        return allowedZones.minBy { machineCountIn(it) }
    }

    /** All zones, those with the most free CPUs on usable machines of the shard first. */
    fun byFreeCpus(): List<String> = allZones.sortedByDescending { freeCpusIn(it) }

    /**
     * The zone in which to look for capacity for a gang that must run in one zone: first the one in which the shard has
     * the most free CPUs, then, while the gang waits, the others in turn, since the cloud may have no capacity left in
     * a zone. For other jobs, and gangs with a zone of their own, that zone; null if there is none.
     */
    private fun zoneForGang(job: Job): String? {
        if (!job.spec.isGang || !job.spec.oneZone || job.spec.zone != null) return job.spec.zone
        val zones = byFreeCpus()
        if (zones.isEmpty()) return null
        val zonesTried = (shardState.clock.now() - job.waitingSince) / TIME_PER_ZONE_MS
        return zones[(zonesTried % zones.size).toInt()]
    }

    private fun machineCountIn(zone: String): Int = shardState.machines.values.count { it.record.zone == zone }

    private fun freeCpusIn(zone: String): Double = shardState.machines.values.sumOf {
        if (it.record.zone == zone && it.usable) it.freeCpus else 0.0
    }

    private companion object {
        const val TIME_PER_ZONE_MS = 15_000L
    }
}
