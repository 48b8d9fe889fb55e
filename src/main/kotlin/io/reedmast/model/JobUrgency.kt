package io.reedmast.model

import io.reedmast.ports.Clock
import io.reedmast.settings.Settings

/**
 * How pressing a job is by its deadline and by how long it has got nothing.
 *
 * There are two kinds of waits. A job is *starving* by the time since none of its tasks had a machine
 * ([Job.unplacedSince]), and *underserved* by the time since none of them has run for longer than a moment
 * ([Job.underservedSince]): one whose tasks are preempted again and again as soon as they start is underserved, and
 * never starving. For a service both are the time for which it has lacked replicas ([Job.waitingSince]).
 *
 * | waited for | starving | underserved |
 * | --- | --- | --- |
 * | 30 s | [isNearlyStarving] | |
 * | 60 s | [isStarving] | [isUnderserved] |
 * | 120 s | | [isSeverelyUnderserved] |
 */
class JobUrgency(private val settings: Settings, private val clock: Clock) {
    /** Wall time at which the job should be over; without a deadline and an objective, when it was accepted. */
    fun deadlineMs(job: Job): Long {
        val allowedS = job.spec.deadlineS ?: finishObjectiveS(job) ?: return job.acceptedAtMs
        return job.acceptedAtMs + (allowedS * MS_PER_S).toLong()
    }

    private fun finishObjectiveS(job: Job): Double? =
        settings.objectives.firstOrNull { it.kind == OBJECTIVE_FINISHED && it.jobClass == job.spec.jobClass }?.withinS

    /** Whether the deadline is over; a job that has none of its own is given some time more. */
    fun isPastDeadline(job: Job): Boolean {
        val graceMs = if (job.spec.deadlineS == null) GRACE_WITHOUT_DEADLINE_MS else 0L
        return clock.wallTime() > deadlineMs(job) + graceMs
    }

    /**
     * Nothing of it runs, or a service lacks replicas, and has for so long that what a machine costs, whose room it is
     * or where it failed counts no more: with room for it somewhere it must not be left waiting for 90 s.
     *
     * Not sooner: at 30 s, a swarm of small jobs took the room that services were to find.
     */
    fun isStarving(job: Job): Boolean = isNearlyStarving(job) && starvingSince(job) < clock.now() - STARVING_MS

    /** It may starve before a machine of another shard is emptied for it, so that is thought of sooner. */
    fun isNearlyStarving(job: Job): Boolean =
        job.pendingCount > 0 && !isSuspectedFaulty(job) && starvingSince(job) < clock.now() - NEARLY_STARVING_MS

    /** Since when the job lacks what it must not lack for long; in the future if it does not. */
    fun starvingSince(job: Job): Long = when {
        job.spec.isService -> job.waitingSince
        job.placedCount == 0 -> job.unplacedSince
        else -> Long.MAX_VALUE
    }

    /**
     * No task of it has run for longer than a moment for so long that its next task comes before other work of its
     * team.
     */
    fun isUnderserved(job: Job): Boolean = underservedForMs(job) > STARVING_MS

    /** As [isUnderserved], for so long that its next task is not preempted for any other work. */
    fun isSeverelyUnderserved(job: Job): Boolean = underservedForMs(job) > OVERDUE_MS

    /**
     * How long a job that waits has got nothing that lasted, a service: lacked replicas; 0 if it does not wait for
     * that.
     */
    fun underservedForMs(job: Job): Long {
        if (job.pendingCount <= 0 || isSuspectedFaulty(job)) return 0L
        return when {
            job.spec.isService -> clock.now() - job.waitingSince
            job.placedCount == 0 -> clock.now() - job.underservedSince
            else -> 0L
        }
    }

    /** Whether the job is judged by how soon it starts: a service, a gang, or one of a class with such an objective. */
    fun isLatencySensitive(job: Job): Boolean = job.spec.isService || job.spec.isGang ||
        settings.objectives.any { it.kind == OBJECTIVE_WAIT && it.jobClass == job.spec.jobClass }

    /** It failed on several machines in a row: the job has a mistake, and the machines have not. */
    fun isSuspectedFaulty(job: Job): Boolean = job.consecutiveFailures >= FAILURES_OF_FAULTY_JOB

    private companion object {
        const val MS_PER_S = 1000
        const val OBJECTIVE_FINISHED = "finished"
        const val OBJECTIVE_WAIT = "wait"
        const val GRACE_WITHOUT_DEADLINE_MS = 120_000L
        const val NEARLY_STARVING_MS = 30_000L
        const val STARVING_MS = 60_000L

        /** Half of the time within which the largest jobs must have begun. */
        const val OVERDUE_MS = 120_000L
        const val FAILURES_OF_FAULTY_JOB = 4
    }
}
