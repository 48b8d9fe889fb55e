package io.reedmast.scheduling

import io.reedmast.fairshare.PreemptionCandidate
import io.reedmast.fairshare.mayPreempt
import io.reedmast.model.Machine
import io.reedmast.model.Placement
import io.reedmast.model.ShardState

/** Finds the tasks that may be preempted for other work. */
internal class PreemptionCandidates(private val shardState: ShardState, private val protection: PreemptionProtection) {
    /** The machines in service on which some task may be preempted for whatever other work. */
    fun machinesWithCandidates(): List<Machine> = shardState.machines.values.filter { machine ->
        machine.isInService && machine.placements.values.any { protection.isPreemptable(it) }
    }

    /** The tasks on [machine] that may be preempted for [preemptingJob]. */
    fun on(machine: Machine, preemptingJob: PreemptingJob): List<Placement> = machine.placements.values
        .filter { it.stopReason == null && protection.isPreemptable(it) }
        .filter { !protection.isProtectedFrom(it, preemptingJob.job) }
        .filter { mayPreempt(candidateOf(it, preemptingJob), preemptingJob.request) }

    private fun candidateOf(placement: Placement, preemptingJob: PreemptingJob): PreemptionCandidate {
        val job = placement.job
        return PreemptionCandidate(
            priority = job.spec.priority,
            resumable = job.spec.resumable,
            sameTeam = job.team == preemptingJob.job.team,
            ranForS = (shardState.clock.now() - protectedSince(placement)) / MS_PER_SECOND,
            protectedMinimumS = protectedMinimumS(job.spec.estimateS),
            teamBeyondGuarantee = shardState.quota.exceedsGuarantee(job.team),
            teamUsageRatio = shardState.fairShare.usageRatio(job.team, preemptingJob.wallMs),
        )
    }

    /** The estimated run time, but at most the configured cap; for work without an estimate, the cap. */
    private fun protectedMinimumS(estimateS: Double): Double {
        val capS = shardState.tuning.maxProtectedRunTimeS
        return if (estimateS > 0) minOf(capS, estimateS) else capS
    }

    /** When the protected minimum began. For a gang that is when all its tasks run: it does no work before. */
    private fun protectedSince(placement: Placement): Long {
        if (!placement.job.spec.isGang) return placement.createdAt
        return placement.job.placements().maxOf { if (it.running) it.runningSince else shardState.clock.now() }
    }

    private companion object {
        const val MS_PER_SECOND = 1000.0
    }
}
