package io.reedmast.persistence

import io.reedmast.jobs.FinalRecord
import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.Write
import io.reedmast.kvstore.WritePriority
import io.reedmast.model.Job
import io.reedmast.model.ShardState
import io.reedmast.ports.KeyValueStore
import io.reedmast.wire.JobState
import org.slf4j.LoggerFactory

/**
 * Stores the final states of jobs: one transaction puts the final record of a job and deletes the record of the
 * unfinished job.
 *
 * Final records of completed jobs are stored at once, because their users wait for them. Those of cancelled jobs, whose
 * users already know that the job has ended, are stored when enough write permits are left.
 */
internal class FinalRecordWriter(
    private val shardState: ShardState,
    private val store: KeyValueStore,
    private val conflicts: ConflictHandler,
    private val listener: ProgressListener,
) {
    private val log = LoggerFactory.getLogger("shard")
    private val shard = shardState.index.value
    private val waitingJobs = LinkedHashSet<Job>()
    private var writesInFlight = 0

    /** Whether no final record is queued or being written. */
    val isIdle: Boolean get() = writesInFlight == 0 && waitingJobs.isEmpty()

    /** Queues the final record of a finished job. */
    fun enqueue(job: Job) {
        waitingJobs.add(job)
    }

    /** Removes the job from the queue, as it needs no final record any more. */
    fun forget(job: Job) {
        waitingJobs.remove(job)
    }

    /** Writes the final records that are due, with at most [MAX_WRITES_IN_FLIGHT] writes in flight. */
    fun writeDue() {
        val iterator = waitingJobs.iterator()
        while (iterator.hasNext() && writesInFlight < MAX_WRITES_IN_FLIGHT) {
            val job = iterator.next()
            if (!needsFinalRecord(job)) {
                iterator.remove()
            } else if (isDue(job)) {
                iterator.remove()
                write(job)
            }
        }
    }

    private fun needsFinalRecord(job: Job): Boolean =
        job.isFinished && !job.isFinalRecordInFlight && shardState.jobs[job.spec.jobId] === job

    private fun isDue(job: Job): Boolean = shardState.clock.now() >= job.finalRecordNotBefore &&
        (!job.isCancelled || store.writePermitLevel() >= MIN_LEVEL_FOR_CANCELLED)

    private fun write(job: Job) {
        job.isFinalRecordInFlight = true
        writesInFlight++
        val record = FinalRecord(if (job.isCancelled) JobState.CANCELLED else JobState.DONE, job.spec.taskCount)
        val priority = if (job.isCancelled) WritePriority.DEFERRED else WritePriority.URGENT
        val transaction = CasTransaction(preconditionsOf(job), writesOf(job, record), priority) { outcome ->
            writesInFlight--
            if (!shardState.dropped) onOutcome(outcome, job, record)
        }
        store.commit(transaction)
    }

    private fun preconditionsOf(job: Job) = listOf(
        shardState.termPrecondition,
        Precondition(Keys.liveJob(shard, job.spec.jobId), job.version),
        Precondition(Keys.endedJob(job.spec.jobId), NOT_STORED),
    )

    private fun writesOf(job: Job, record: FinalRecord) = listOf(
        Write.Put(Keys.endedJob(job.spec.jobId), record.toFields()),
        Write.Delete(Keys.liveJob(shard, job.spec.jobId)),
    )

    private fun onOutcome(outcome: CommitOutcome, job: Job, record: FinalRecord) {
        job.isFinalRecordInFlight = false
        when (outcome) {
            is CommitOutcome.Applied -> listener.onJobEnded(job, record, outcome.revision)

            is CommitOutcome.Conflict -> {
                retryLater(job, CONFLICT_DELAY_MS)
                conflicts.onFinalRecordConflict(outcome.failedPaths)
            }

            is CommitOutcome.Refused -> {
                log.error("job {}: store refused the final record: {}", job.spec.jobId, outcome.reason)
                retryLater(job, REFUSED_DELAY_MS)
            }
        }
    }

    private fun retryLater(job: Job, delayMs: Long) {
        job.finalRecordNotBefore = shardState.clock.now() + delayMs
        waitingJobs.add(job)
    }

    private companion object {
        /** The version of a key that does not exist. */
        const val NOT_STORED = 0L
        const val MAX_WRITES_IN_FLIGHT = 64

        /**
         * Final records of cancelled jobs wait until this fraction of one second's write permits is left: their users
         * already know that the job has ended.
         */
        const val MIN_LEVEL_FOR_CANCELLED = 0.5
        const val CONFLICT_DELAY_MS = 500L
        const val REFUSED_DELAY_MS = 30_000L
    }
}
