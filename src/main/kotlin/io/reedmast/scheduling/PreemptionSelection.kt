package io.reedmast.scheduling

import io.reedmast.model.Machine
import io.reedmast.model.Placement
import io.reedmast.placement.FreeResources
import io.reedmast.wire.JobSpec

/**
 * Selects which of [candidates], all on [machine], to stop so that [taskCount] tasks of this shape fit there. Tasks of
 * gangs are selected last, and newer placements before older ones. Null if stopping all candidates would not be enough,
 * or if nothing needs to be stopped.
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
