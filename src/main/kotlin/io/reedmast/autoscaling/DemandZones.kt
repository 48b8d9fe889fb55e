package io.reedmast.autoscaling

import io.reedmast.model.Job
import io.reedmast.model.ShardState
import io.reedmast.placement.zonesAllowedByRules

/** In which zones new machines for a job would be of use. One instance serves one calculation. */
internal class DemandZones(private val shardState: ShardState) {
    private val allZones: Set<String> = shardState.machineTypes.flatMapTo(LinkedHashSet()) { it.zones }

    /** The zone in which new capacity for the job must be, if its other tasks or its user leave only one; else null. */
    fun onlyZoneFor(job: Job): String? = zonesAllowedByRules(job, allZones)?.singleOrNull() ?: zoneForGang(job)

    /** The zones in which new capacity for the job is of use, which may be none; null if nothing limits them. */
    fun allowedZonesFor(job: Job): Set<String>? {
        val allowedByRules = zonesAllowedByRules(job, allZones)
        if (allowedByRules != null || !job.spec.isGang) return allowedByRules
        return zoneForGang(job)?.let { setOf(it) }
    }

    /**
     * The zone to ask for when only [allowedZones] are of use, which must not be empty: the one with the fewest
     * machines; null if any zone will do.
     */
    fun zoneToRequest(job: Job, allowedZones: Set<String>?): String? {
        if (allowedZones == null || allowedZones.size == allZones.size) return job.spec.zone
        return allowedZones.minBy { machineCountIn(it) }
    }

    /** All zones, those with the most free CPUs on usable machines of the shard first. */
    fun byFreeCpus(): List<String> = allZones.sortedByDescending { freeCpusIn(it) }

    /**
     * The zone in which to find capacity for a gang that must run in one: the one in which the shard has the most free
     * CPUs, then the others in turn, since the cloud may have nothing left in one.
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
