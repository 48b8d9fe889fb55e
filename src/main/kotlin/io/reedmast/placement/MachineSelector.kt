package io.reedmast.placement

import io.reedmast.model.Machine

/**
 * Selects the one of [machines], all of which must be usable, on which the task should start now: of those that pass
 * all filters, the first with the lowest score. Null if none passes.
 */
fun selectMachine(request: TaskRequest, machines: List<Machine>): Machine? {
    var best: Machine? = null
    var bestScore = Double.MAX_VALUE
    for (machine in machines) {
        if (!passesAllFilters(request, machine)) continue
        val score = score(request.job.spec, machine)
        if (score < bestScore) {
            bestScore = score
            best = machine
        }
    }
    return best
}
