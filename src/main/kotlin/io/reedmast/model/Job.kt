package io.reedmast.model

import io.reedmast.settings.TeamId
import io.reedmast.wire.JobSpec
import java.util.BitSet

/**
 * An unfinished job, as scheduled by the owner of its shard.
 *
 * Each task is in one of three states: pending, placed, or done. [add] places a pending task, [remove] ends the
 * placement and makes the task pending again or done, and [markDone] restores a result. The counts and the chunks are
 * changed only by these functions and always agree with the states.
 *
 * Times are in ms of the controller's monotonic clock unless stated otherwise.
 *
 * @property acceptedAtMs wall time at which the job was accepted.
 */
class Job(
    val spec: JobSpec,
    val team: TeamId,
    private val chunkSize: Int,
    val acceptedAtMs: Long,
    /** Version of the job's record; it changes when the job is cancelled or ended. */
    var version: Long,
) {
    init {
        require(chunkSize > 0) { "chunk size must be positive: $chunkSize" }
    }

    /**
     * The chunks in which the job's progress is stored, up to the last to whose tasks anything has happened; null if
     * nothing has happened to their tasks.
     */
    val chunks: List<Chunk?> get() = touchedChunks

    /** Grows with the tasks that something has happened to, so that a large array that waits takes little memory. */
    private val touchedChunks = ArrayList<Chunk?>()

    /** Whether the user has cancelled the job; no task of it is placed any more. */
    var isCancelled = false

    var doneCount = 0
    var placedCount = 0

    /** How many of the placed tasks run, according to their workers. */
    var runningCount = 0

    /** The counts last sent to the other controllers. */
    var publishedDone = 0
    var publishedRunning = 0

    /** Whether a write of the job's final record is in flight; no decisions about the job are made meanwhile. */
    var isFinalRecordInFlight = false

    /** The earliest time to write the final record again after the last attempt has failed. */
    var finalRecordNotBefore = 0L

    /** Tasks from this number on are pending. */
    private var untouchedFrom = 0

    /** The pending tasks below [untouchedFrom]. */
    private val pendingAgain = BitSet()

    /** How many tasks are to be placed, having neither a result nor a placement; 0 for a cancelled job. */
    val pendingCount: Int get() = if (isCancelled) 0 else spec.taskCount - doneCount - placedCount

    /** Whether the job has finished and its final record may be stored. A service finishes only by cancellation. */
    val isFinished: Boolean get() = placedCount == 0 &&
        (isCancelled || (!spec.isService && doneCount == spec.taskCount))

    /** Machines on which attempts of this job failed, and how many failed in a row. */
    val failedOn = HashSet<Machine>()
    var consecutiveFailures = 0

    /** Whether a task of the job has completed: then later failures of its tasks are not the fault of the job. */
    var hasSucceeded = false

    /** No task of the job is placed before this time, so that a failure is not repeated at once. */
    var placementNotBefore = 0L

    /** How many placements of other jobs are being preempted for this one. */
    var pendingPreemptions = 0

    /** Since when tasks of the job have been waiting for a machine without interruption. */
    var waitingSince = 0L

    /** Since when none of its tasks has been placed on a machine. */
    var unplacedSince = 0L

    /** Since when none of its tasks has run long enough to count as service: see [ShardState.finish]. */
    var underservedSince = 0L

    /** Cached results, by machine type, of whether it is too expensive for the job; cleared when prices change. */
    val expensiveTypes = HashMap<String, Boolean>(EXPENSIVE_TYPES_CAPACITY)

    /** For a gang: the last attempt that timed out before all its tasks had started, and how many attempts did. */
    var lastTimedOutAttempt = 0L
    var timedOutAttempts = 0

    /** For a gang: the last attempt in which a task failed by itself. */
    var lastFailedAttempt = 0L

    /** Whether every task of the gang has a stored placement that is not to be stopped; none is launched before. */
    val isCompleteGangStored: Boolean get() = placedCount == spec.taskCount &&
        placements().all { it.committed && it.stopReason == null }

    /** Restarts all waiting times of the job, as of [since]. */
    fun restartWaiting(since: Long) {
        waitingSince = since
        unplacedSince = since
        underservedSince = since
    }

    /** The chunk that contains the task; it is created on first use. */
    fun chunkOf(task: Int): Chunk {
        val index = task / chunkSize
        while (touchedChunks.size <= index) touchedChunks.add(null)
        return touchedChunks[index] ?: newChunk(index).also { touchedChunks[index] = it }
    }

    private fun newChunk(index: Int): Chunk {
        val first = index * chunkSize
        return Chunk(this, index, first, minOf(chunkSize, spec.taskCount - first))
    }

    /** The pending task with the lowest number, -1 if there is none. */
    fun nextPending(): Int {
        val again = pendingAgain.nextSetBit(0)
        if (again >= 0) return again
        return if (untouchedFrom < spec.taskCount) untouchedFrom else NO_TASK
    }

    private fun setNotPending(task: Int) {
        if (task < untouchedFrom) {
            pendingAgain.clear(task)
        } else {
            pendingAgain.set(untouchedFrom, task)
            untouchedFrom = task + 1
        }
    }

    /** The placements of all tasks, in the order of their numbers. */
    fun placements(): Sequence<Placement> = chunks.asSequence().filterNotNull().flatMap { it.placements.values }

    /** Whether the task still has this placement, which has neither ended nor been replaced by another one. */
    fun isCurrent(placement: Placement): Boolean =
        chunks.getOrNull(placement.task / chunkSize)?.placements?.get(placement.task) === placement

    /** Places a pending task. */
    fun add(placement: Placement) {
        require(placement.job === this) { "task ${placement.id} does not belong to job ${spec.jobId}" }
        chunkOf(placement.task).placements[placement.task] = placement
        setNotPending(placement.task)
        placedCount++
        placement.machine.add(placement)
    }

    /**
     * Ends the current placement of a task. The caller must have evidence that the attempt is over.
     */
    fun remove(placement: Placement, done: Boolean) {
        require(isCurrent(placement)) { "attempt ${placement.attempt} of task ${placement.id} has ended" }
        chunkOf(placement.task).placements.remove(placement.task)
        placedCount--
        if (placement.running) runningCount--
        if (done) markDone(placement.task) else pendingAgain.set(placement.task)
        placement.machine.remove(placement)
    }

    /** Records the result of a task that has no placement, or whose placement has ended. */
    fun markDone(task: Int) {
        val chunk = chunkOf(task)
        if (chunk.done.get(task - chunk.first)) return
        chunk.done.set(task - chunk.first)
        setNotPending(task)
        doneCount++
    }

    /** Records that the worker lost the attempt with its previous epoch; the attempt may be launched there again. */
    fun recordLost(placement: Placement) {
        if (placement.running) runningCount--
        placement.runningSince = 0L
        placement.isReported = false
        placement.launchEpoch = 0L
        placement.launchesSentSinceReported = 0
    }

    /** Records that the worker reports the attempt as running; [now] is the latest time at which it began. */
    fun recordRunning(placement: Placement, now: Long) {
        if (placement.running) return
        placement.runningSince = now
        runningCount++
    }

    private companion object {
        const val EXPENSIVE_TYPES_CAPACITY = 4
        const val NO_TASK = -1
    }
}
