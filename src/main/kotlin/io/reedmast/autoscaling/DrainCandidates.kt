package io.reedmast.autoscaling

import io.reedmast.model.Machine
import io.reedmast.model.Placement
import io.reedmast.model.ShardState

/** Selects the machines of a shard that could be drained for a starving job of another shard. */
internal class DrainCandidates(private val shardState: ShardState) {
    /**
     * Names of the machines that could be drained: the cheapest to drain first, grouped by offering, with at most
     * [MAX_PER_OFFERING] of each. Empty machines that are kept for services to come are included. [now] is in
     * milliseconds.
     *
     * Services are placed elsewhere at once, and tasks that end within seconds are waited for; other work that cannot
     * resume is lost.
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
     * Whether the machine's work fits into what is left of [freeCpus] without this machine. With less free capacity on
     * the others, this work would starve next, and the machine would be moved back.
     */
    private fun workFitsOnOthers(machine: Machine, freeCpus: Double): Boolean {
        val placedCpus = machine.placements.values.sumOf { it.job.spec.cpus }
        return placedCpus <= freeCpus - machine.freeCpus + Machine.EPSILON
    }

    /** The cost of stopping the task, in CPU seconds of its work. */
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

        /** The cost of stopping a replica and starting it elsewhere, in seconds of its run time. */
        const val SERVICE_RESTART_S = 5.0
    }
}
