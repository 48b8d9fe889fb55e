package io.reedmast.model

import io.reedmast.ports.Clock
import io.reedmast.settings.Settings
import io.reedmast.settings.TeamId
import io.reedmast.settings.Tuning
import io.reedmast.wire.JobSpec
import io.reedmast.wire.MachineType

/** Charges the teams of a shard for running tasks, and compares their charged usage with their allocation. */
class FairShare(
    private val settings: Settings,
    private val tuning: Tuning,
    private val clock: Clock,
    private val quota: TeamQuota,
    /** The teams of the shard. */
    private val teams: List<TeamId>,
) {
    /** Recently charged usage, by team. */
    val usage = ChargedUsage((tuning.usageWindowS * MS_PER_S).toLong())

    /** Charges the funded tasks that the workers of [machines] have reported, for the last [seconds]. */
    fun charge(machines: Collection<Machine>, seconds: Double) {
        val rates = DoubleArray(settings.teams.size)
        for (machine in machines) {
            val type = machine.machineType ?: continue
            for (placement in machine.placements.values) {
                if (isCharged(placement)) rates[placement.job.team.value] += chargedCpus(placement.job.spec, type)
            }
        }
        val wall = clock.wallTime()
        for (team in teams) if (rates[team.value] > 0) usage.charge(team, rates[team.value] * seconds, wall)
    }

    private fun isCharged(placement: Placement) = placement.isReported && placement.job.spec.priority.isFunded

    /** The dominant share times the machine's CPUs, so that the shares of machines of different sizes add up. */
    private fun chargedCpus(spec: JobSpec, type: MachineType): Double {
        val share = maxOf(
            if (type.cpus > 0) spec.cpus / type.cpus else 0.0,
            if (type.gpus > 0) spec.gpus / type.gpus else 0.0,
            if (type.memoryGb > 0) spec.memoryGb / type.memoryGb else 0.0,
        )
        return share * type.cpus
    }

    /**
     * Charged usage over the window that ends at [wallMs], divided by what the team is allocated for the window. The
     * team with the smallest ratio is served first. A team without an allocation comes last.
     */
    fun usageRatio(team: TeamId, wallMs: Long): Double {
        val share = settings.teams[team.value]
        val allocated = if (share.cpus > 0) share.cpus else share.gpus
        if (allocated <= 0.0) return Double.MAX_VALUE
        // Current placements are also counted for the next minute, so that each decision of a burst sees the effect of
        // the earlier ones.
        val lookahead = quota.usedCpus(team) * LOOKAHEAD_S
        return (usage.chargedInWindow(team, wallMs) + lookahead) / (allocated * tuning.usageWindowS)
    }

    private companion object {
        const val MS_PER_S = 1000
        const val LOOKAHEAD_S = 60.0
    }
}
