package io.reedmast.model

import io.reedmast.wire.JobSpec

/** A job that arrived at [arrivedAt]. [demand] is in CPUs for services and gangs, in CPU seconds for arrays. */
class JobArrival(val arrivedAt: Long, val demand: Double)

/** A gang that arrived at [arrivedAt]. */
class GangArrival(val arrivedAt: Long, val spec: JobSpec)

/**
 * Recent job arrivals of a shard, oldest first, from which future arrivals are estimated.
 *
 * The reader of each list removes the entries that are too old for its purpose.
 */
class JobArrivals {
    /** Services and gangs accepted since the shard was acquired; [JobArrival.demand] is in CPUs. */
    val services = ArrayDeque<JobArrival>()

    /** Arrays accepted since the shard was acquired; [JobArrival.demand] is their estimated work in CPU seconds. */
    val arrays = ArrayDeque<JobArrival>()

    /** Gangs, including those that were restored with the shard. */
    val gangs = ArrayDeque<GangArrival>()

    /** Records a job that became known to the owner at [now]; [isRestored] if an earlier owner had accepted it. */
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
