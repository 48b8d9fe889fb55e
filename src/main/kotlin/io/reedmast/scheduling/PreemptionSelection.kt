package io.reedmast.scheduling

import io.reedmast.model.Machine
import io.reedmast.model.Placement
import io.reedmast.placement.FreeResources
import io.reedmast.wire.JobSpec

/**
 * Which of [candidates], all on [machine], to stop so that [taskCount] tasks of this shape fit there: gangs last, the
 * newest first. Null if even all of them are not enough, or if nothing needs to be stopped.
 */
internal fun selectForPreemption(
    spec: JobSpec,
    taskCount: Int,
    machine: Machine,
    candidates: List<Placement>,
): List<Placement>? {
    var free = FreeResources.of(machine)
    val selected = ArrayList<Placement>()
    for (candidate in candidates.sortedWith(preemptionOrder)) {
        if (free.tasksThatFit(spec) >= taskCount) break
        selected.add(candidate)
        free += candidate.job.spec
    }
    return selected.takeIf { it.isNotEmpty() && free.tasksThatFit(spec) >= taskCount }
}

private val preemptionOrder = compareBy<Placement>({ it.job.spec.isGang }, { -it.createdAt })
