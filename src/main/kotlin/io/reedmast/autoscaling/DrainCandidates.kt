package io.reedmast.autoscaling

import io.reedmast.model.Machine
import io.reedmast.model.Placement
import io.reedmast.model.ShardState

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
        val freeCpus = drainable.sumOf { it.freeCpus }
        return drainable
            .filter { workFitsOnOthers(it, freeCpus) }
            .sortedBy { machine -> machine.placements.values.sumOf { drainCost(it, now) } }
            .groupBy { InstanceOffering(it.record.typeName, it.record.zone, it.record.spot) }.values
            .flatMap { it.take(MAX_PER_OFFERING) }
            .take(MAX_CANDIDATES)
            .map { it.name }
    }

    private fun isDrainable(machine: Machine, now: Long): Boolean = machine.usable && machine.reclaimAt == 0L &&
        machine.placements.values.none { now - it.createdAt < JUST_PLACED_MS || it.job.spec.isGang }

    /**
     * Whether the machine's work fits into what is left of [freeCpus] without it. With less on the others, the work of
     * this one would starve next, and the machine come back.
     */
    private fun workFitsOnOthers(machine: Machine, freeCpus: Double): Boolean {
        val placedCpus = machine.placements.values.sumOf { it.job.spec.cpus }
        return placedCpus <= freeCpus - machine.freeCpus + Machine.EPSILON
    }

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
        const val MAX_PER_OFFERING = 3

        /** What stopping a replica and starting it elsewhere is worth, in seconds of its run. */
        const val SERVICE_RESTART_S = 5.0
    }
}
