package io.reedmast.model

import io.reedmast.settings.TeamId
import io.reedmast.wire.JobSpec
import java.util.BitSet

/** An unfinished job in the hands of its shard's owner. */
class Job(
    val spec: JobSpec,
    val team: TeamId,
    private val chunkSize: Int,
    val acceptedAtMs: Long,
    /** Stamp of the job's record: whoever cancels or ends the job moves it. */
    var version: Long,
) {
    val chunks: Array<Chunk?> = arrayOfNulls((spec.taskCount + chunkSize - 1) / chunkSize)
    var isCancelled = false
    var doneCount = 0
    var placedCount = 0
    var runningCount = 0

    /** What was last told of it to the other controllers. */
    var publishedDone = 0
    var publishedRunning = 0
    var ending = false
    var endNotBefore = 0L

    /** Tasks with neither result nor placement, lowest number first. */
    private val waiting = BitSet(spec.taskCount).apply { set(0, spec.taskCount) }
    val pendingCount: Int get() = if (isCancelled) 0 else spec.taskCount - doneCount - placedCount
    val isFinished: Boolean get() = placedCount == 0 && (isCancelled || (!spec.service && doneCount == spec.taskCount))

    /** Machines on which attempts of this job failed, and how many failed in a row. */
    val failedOn = HashSet<Machine>()
    var failures = 0

    /** Whether a task of it has completed: then it is no mistake of the job's where one fails. */
    var hasSucceeded = false
    var notBefore = 0L
    var preempting = 0

    /** Since when, without a break, tasks of it have waited for a machine. */
    var waitsSince = 0L

    /** Since when none of its tasks has had a machine. */
    var idleSince = 0L

    /** Since when none of its tasks has run for longer than a moment. */
    var underservedSince = 0L

    /** Counts every wait of the job from [since] on. */
    fun restartWaiting(since: Long) {
        waitsSince = since
        idleSince = since
        underservedSince = since
    }

    /** Which machine types are too dear for it, as long as prices stay as they are. */
    val expensiveTypes = HashMap<String, Boolean>(4)

    fun chunkOf(task: Int): Chunk {
        val index = task / chunkSize
        return chunks[index]
            ?: Chunk(this, index, index * chunkSize, minOf(chunkSize, spec.taskCount - index * chunkSize)).also {
                chunks[index] =
                    it
            }
    }

    /** Of a gang: the last attempt that did not become whole in time, and how many there were. */
    var lastAloneAttempt = 0L
    var attemptsAlone = 0

    /** Of a gang: the last attempt in which a task failed by itself. */
    var lastFailedAttempt = 0L

    /** Whether all tasks of the gang have placements, and the store holds each: nothing of it is launched before. */
    val isWholeGangStored: Boolean get() = placedCount == spec.taskCount &&
        placements().all { it.committed && it.stopReason == null }

    fun nextPending(): Int = waiting.nextSetBit(0)

    fun placements(): Sequence<Placement> = chunks.asSequence().filterNotNull().flatMap { it.placements.values }

    fun add(placement: Placement) {
        chunkOf(placement.task).placements[placement.task] = placement
        waiting.clear(placement.task)
        placedCount++
        placement.machine.add(placement)
    }

    /** Ends a placement. The evidence for that is the caller's business. */
    fun remove(placement: Placement, done: Boolean) {
        val chunk = chunkOf(placement.task)
        if (chunk.placements.remove(placement.task, placement)) {
            placedCount--
            if (placement.running) runningCount--
            if (done) markDone(placement.task) else waiting.set(placement.task)
        }
        placement.machine.remove(placement)
    }

    fun markDone(task: Int) {
        val chunk = chunkOf(task)
        if (chunk.done.get(task - chunk.first)) return
        chunk.done.set(task - chunk.first)
        waiting.clear(task)
        doneCount++
    }

    /** The worker has forgotten the attempt, with its session, and may be told to launch it again. */
    fun recordLost(placement: Placement) {
        if (placement.running) runningCount--
        placement.runningSince = 0L
        placement.seen = false
        placement.launchEpoch = 0L
        placement.launchesAnswered = 0
    }

    fun recordRunning(placement: Placement, now: Long) {
        if (placement.running) return
        placement.runningSince = now
        runningCount++
    }
}
