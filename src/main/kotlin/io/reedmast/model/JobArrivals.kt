package io.reedmast.model

import io.reedmast.wire.JobSpec

/** A job that was accepted at [arrivedAt], and how much of something it takes: see [JobArrivals]. */
class JobArrival(val arrivedAt: Long, val demand: Double)

/** A gang that was accepted at [arrivedAt]. */
class GangArrival(val arrivedAt: Long, val spec: JobSpec)

/**
 * The jobs that came to a shard lately, oldest first, from which it is estimated what will come next.
 *
 * Whoever reads a list removes the entries that are too old for its purpose.
 */
class JobArrivals {
    /** Services and gangs accepted since the shard was acquired, with the CPUs that they take. */
    val services = ArrayDeque<JobArrival>()

    /** Arrays accepted since the shard was acquired: of these, [JobArrival.demand] is their work in CPU seconds. */
    val arrays = ArrayDeque<JobArrival>()

    /** Gangs, those that were restored with the shard among them. */
    val gangs = ArrayDeque<GangArrival>()

    /** Records a job of which the owner learns at [now]; [isRestored] if an earlier owner had accepted it. */
    fun record(spec: JobSpec, now: Long, isRestored: Boolean) {
        if (spec.isGang) gangs.addLast(GangArrival(now, spec))
        if (isRestored) return
        val cpus = spec.cpus * spec.taskCount
        if (spec.isService || spec.isGang) {
            services.addLast(JobArrival(now, cpus))
        } else {
            arrays.addLast(JobArrival(now, cpus * spec.estimateS))
        }
    }
}
