package io.reedmast.model

import io.reedmast.settings.TeamId
import io.reedmast.wire.JobSpec
import java.util.BitSet

/**
 * An unfinished job in the hands of its shard's owner.
 *
 * Each task is in one of three states: pending, placed, or done. [add] places a pending task, [remove] ends the
 * placement and makes the task pending again or done, and [markDone] restores a result. The counts and the chunks
 * always agree with that; nothing else changes them.
 *
 * Times are of the controller's monotonic clock, in ms, unless they say otherwise.
 *
 * @property acceptedAtMs wall time at which the job was accepted.
 */
class Job(
    val spec: JobSpec,
    val team: TeamId,
    private val chunkSize: Int,
    val acceptedAtMs: Long,
    /** Version of the job's record: whoever cancels or ends the job moves it. */
    var version: Long,
) {
    init {
        require(chunkSize > 0) { "chunks of $chunkSize tasks" }
    }

    /** The parts in which the job's progress is stored; null as long as nothing has happened to their tasks. */
    val chunks: Array<Chunk?> = arrayOfNulls((spec.taskCount + chunkSize - 1) / chunkSize)

    /** Whether its user has cancelled it: nothing of it is placed any more. */
    var isCancelled = false

    var doneCount = 0
    var placedCount = 0

    /** How many of the placed tasks run, as their workers show them. */
    var runningCount = 0

    /** What was last sent of it to the other controllers. */
    var publishedDone = 0
    var publishedRunning = 0

    /** Whether its end is on its way to the store: nothing of it is decided meanwhile. */
    var isFinalRecordInFlight = false

    /** Until then the store is not asked to end it: the last attempt has failed. */
    var finalRecordNotBefore = 0L

    private val pendingTasks = BitSet(spec.taskCount).apply { set(0, spec.taskCount) }

    /** How many tasks, with neither result nor placement, are to be placed; none of a cancelled job. */
    val pendingCount: Int get() = if (isCancelled) 0 else spec.taskCount - doneCount - placedCount

    /** Whether the job is over and its end may be stored: a service is over only when it is cancelled. */
    val isFinished: Boolean get() = placedCount == 0 &&
        (isCancelled || (!spec.isService && doneCount == spec.taskCount))

    /** Machines on which attempts of this job failed, and how many failed in a row. */
    val failedOn = HashSet<Machine>()
    var consecutiveFailures = 0

    /** Whether a task of it has completed: then it is no mistake of the job's where one fails. */
    var hasSucceeded = false

    /** Until then no task of it is placed: a failure is not repeated at once. */
    var placementNotBefore = 0L

    /** How many placements of other jobs are being preempted for it. */
    var pendingPreemptions = 0

    /** Since when, without a break, tasks of it have waited for a machine. */
    var waitingSince = 0L

    /** Since when none of its tasks has had a machine. */
    var unplacedSince = 0L

    /** Since when none of its tasks has run for longer than a moment. */
    var underservedSince = 0L

    /** Which machine types are too expensive for it, as long as prices stay as they are. */
    val expensiveTypes = HashMap<String, Boolean>(EXPENSIVE_TYPES_CAPACITY)

    /** Of a gang: the last attempt that did not become complete in time, and how many there were. */
    var lastTimedOutAttempt = 0L
    var timedOutAttempts = 0

    /** Of a gang: the last attempt in which a task failed by itself. */
    var lastFailedAttempt = 0L

    /** Whether all tasks of the gang have placements, and the store holds each: nothing of it is launched before. */
    val isCompleteGangStored: Boolean get() = placedCount == spec.taskCount &&
        placements().all { it.committed && it.stopReason == null }

    /** Counts every wait of the job from [since] on. */
    fun restartWaiting(since: Long) {
        waitingSince = since
        unplacedSince = since
        underservedSince = since
    }

    /** The chunk that holds the task, which is created if it is the first of its tasks. */
    fun chunkOf(task: Int): Chunk {
        val index = task / chunkSize
        return chunks[index] ?: newChunk(index).also { chunks[index] = it }
    }

    private fun newChunk(index: Int): Chunk {
        val first = index * chunkSize
        return Chunk(this, index, first, minOf(chunkSize, spec.taskCount - first))
    }

    /** The pending task with the lowest number, -1 if there is none. */
    fun nextPending(): Int = pendingTasks.nextSetBit(0)

    /** The placements of all tasks, by their numbers. */
    fun placements(): Sequence<Placement> = chunks.asSequence().filterNotNull().flatMap { it.placements.values }

    /** Places a pending task. */
    fun add(placement: Placement) {
        require(placement.job === this) { "${placement.id} is no task of ${spec.jobId}" }
        chunkOf(placement.task).placements[placement.task] = placement
        pendingTasks.clear(placement.task)
        placedCount++
        placement.machine.add(placement)
    }

    /**
     * Ends a placement. The evidence for that is the caller's business.
     *
     * The task is left alone if another placement has taken the place of this one.
     */
    fun remove(placement: Placement, done: Boolean) {
        val chunk = chunkOf(placement.task)
        if (chunk.placements.remove(placement.task, placement)) {
            placedCount--
            if (placement.running) runningCount--
            if (done) markDone(placement.task) else pendingTasks.set(placement.task)
        }
        placement.machine.remove(placement)
    }

    /** Records the result of a task that has no placement, or none any more. */
    fun markDone(task: Int) {
        val chunk = chunkOf(task)
        if (chunk.done.get(task - chunk.first)) return
        chunk.done.set(task - chunk.first)
        pendingTasks.clear(task)
        doneCount++
    }

    /** The worker has forgotten the attempt, with its epoch, and may be told to launch it again. */
    fun recordLost(placement: Placement) {
        if (placement.running) runningCount--
        placement.runningSince = 0L
        placement.isReported = false
        placement.launchEpoch = 0L
        placement.launchesSentSinceReported = 0
    }

    /** The worker shows that the attempt runs, at the latest since [now]. */
    fun recordRunning(placement: Placement, now: Long) {
        if (placement.running) return
        placement.runningSince = now
        runningCount++
    }

    private companion object {
        const val EXPENSIVE_TYPES_CAPACITY = 4
    }
}
