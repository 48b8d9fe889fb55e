package io.reedmast.autoscaling

import io.reedmast.model.Machine
import io.reedmast.model.Placement
import io.reedmast.model.ShardState
import io.reedmast.wire.JobSpec

/** Which machines of a shard could be drained for a starving job of another shard. */
internal class DrainCandidates(private val shardState: ShardState) {
    /**
     * Names of the machines that could be drained, those that lose least by it first, some of each kind. Empty ones
     * that are kept for services to come are among them. [now] is in milliseconds.
     *
     * Services are placed again at once, and what ends within seconds is waited for; other work that cannot resume is
     * lost.
     */
    fun select(now: Long): List<String> {
        val drainable = shardState.machines.values.filter { isDrainable(it, now) }
        return drainable
            .filter { workFitsOnOthers(it, drainable) }
            .sortedBy { machine -> machine.placements.values.sumOf { drainCost(it, now) } }
            .groupBy { InstanceOffering(it.record.typeName, it.record.zone, it.record.spot) }.values
            .flatMap { it.take(MAX_OF_A_KIND) }
            .take(MAX_CANDIDATES)
            .map { it.name }
    }

    private fun isDrainable(machine: Machine, now: Long): Boolean = machine.usable && machine.noticeUntil == 0L &&
        machine.placements.values.none { now - it.madeAt < JUST_PLACED_MS || it.job.spec.isGang }

    /**
     * Whether the machine's work fits on the other machines of [drainable]. With less room there, the work of this one
     * would starve next, and the machine come back. Work that must be in a zone, or not on spot machines, needs the
     * room there.
     */
    private fun workFitsOnOthers(machine: Machine, drainable: List<Machine>): Boolean {
        val others = drainable.filter { it !== machine }
        val work = machine.placements.values
        val zoneBound = work.filter { it.job.spec.isZoneBound }
        val ordinaryOnly = work.filter { !it.job.spec.spot }
        return fits(work, others) &&
            fits(zoneBound, others.filter { it.record.zone == machine.record.zone }) &&
            fits(ordinaryOnly, others.filter { !it.record.spot })
    }

    private fun fits(work: Collection<Placement>, machines: List<Machine>): Boolean =
        work.sumOf { it.job.spec.cpus } <= machines.sumOf { it.freeCpus } + Machine.EPSILON

    /** Whether the job's tasks cannot be placed in any zone: one that is stopped needs room in its own. */
    private val JobSpec.isZoneBound: Boolean get() = zone != null || oneZone || spread

    /** What stopping the task costs, in CPU seconds of its work. */
    private fun drainCost(placement: Placement, now: Long): Double {
        val spec = placement.job.spec
        val ranS = if (placement.running) (now - placement.runningSince) / MS_PER_S else 0.0
        val lostS = when {
            spec.isService -> SERVICE_RESTART_S
            spec.estimateS - ranS < ScaleInPolicy.ENDS_SOON_S -> 0.0
            spec.resumable -> spec.saveS
            else -> ranS
        }
        return spec.cpus * lostS
    }

    private companion object {
        const val JUST_PLACED_MS = 15_000L
        const val MAX_CANDIDATES = 24
        const val MAX_OF_A_KIND = 3

        /** What stopping a replica and starting it elsewhere is worth, in seconds of its run. */
        const val SERVICE_RESTART_S = 5.0
    }
}
