package io.reedmast.jobs

import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.StoredItem
import io.reedmast.kvstore.UnreadableRecordLog
import io.reedmast.kvstore.WatchEvent
import io.reedmast.ports.Cancellation
import io.reedmast.ports.JobProgress
import io.reedmast.settings.Settings
import io.reedmast.settings.ShardId
import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException

/**
 * All unfinished jobs, and as many ended ones as fit, as delivered by the watch on their records.
 *
 * Every controller has an index, so that it can answer requests about jobs without a read from the store for each. With
 * hundreds of users polling, those were more reads than the store can serve.
 *
 * Records reach the index from three sources that may overtake each other: complete listings ([applyListing]), the
 * watch ([applyWatchEvents]), and this controller's own transactions and reads ([applyRecord]), which may be ahead of
 * the watch or, where a response was lost, seconds behind it. A job is in one of these states:
 *
 * - *unknown*: nothing is known of the job; it was never accepted, or it ended long ago;
 * - *live*: its live record is known, with a version;
 * - *unreadable*: it has a live record that cannot be read, with a version;
 * - *ended*: see [EndedJobs].
 *
 * Transitions:
 *
 * | event | from | to |
 * | --- | --- | --- |
 * | live record, from a listing or the watch | unknown, unreadable, live with an older version | live |
 * | live record, from an own transaction that the watch has not reached | as above | live |
 * | live record, from an own transaction that the watch has passed | live with an older version | live |
 * | as above | unknown, unreadable | no change: the job has ended since |
 * | live record | live with the same or a newer version, ended | no change |
 * | unreadable live record | unknown, unreadable, live with an older version | unreadable, and still live if it was |
 * | removal, at or after the known version | live, unreadable | unknown |
 * | removal, from an own transaction that the watch has not reached | any | ended |
 * | missing from a listing that is at least as new as the known version | live, unreadable | unknown |
 * | cancellation reported by another controller | live with an older version | live, cancelled |
 * | final record | any | ended, and still live until the removal, which is part of the same transaction |
 *
 * The [listeners], queried at each change, are notified only of the live jobs of their own shards.
 */
class JobIndex(private val settings: Settings, private val listeners: () -> List<JobListener>) {
    /** Logs records that cannot be read. */
    val unreadable = UnreadableRecordLog()

    /** The jobs that are known to have ended. */
    val ended = EndedJobs()
    private val liveJobs = HashMap<String, LiveJob>()

    /**
     * Versions of the live records that cannot be read, by job. Users must not be told that these jobs do not exist.
     */
    private val unreadableLive = HashMap<String, Long>()

    /** The revision up to which listings or the watch have delivered every change; 0 before the first listing. */
    var observedRevision = 0L
        private set

    /** The unfinished job of this id, if there is one. */
    fun liveJob(jobId: String): LiveJob? = liveJobs[jobId]

    /** Whether the job, of any shard, is known to be cancelled or to have ended. */
    fun isCancelledOrEnded(jobId: String): Boolean {
        val live = liveJobs[jobId]
        return if (live == null) ended[jobId] != null else live.record.isCancelled
    }

    /** The unfinished jobs of the shard. */
    fun liveJobsOf(shard: ShardId): List<LiveJob> = liveJobs.values.filter { it.shard == shard }

    /** Whether the job exists, but its live record cannot be read. */
    fun isUnreadable(jobId: String): Boolean = jobId in unreadableLive

    /** Applies a complete listing of the live records, which is at least as new as [revision]. */
    fun applyListing(items: List<StoredItem>, revision: Long) {
        recordObserved(revision)
        val listed = items.mapTo(HashSet()) { jobIdOf(it.path) }
        val missing = liveJobs.filter { (jobId, job) -> jobId !in listed && job.version <= revision }.keys.toList()
        missing.forEach { remove(it, Long.MAX_VALUE) }
        unreadableLive.entries.removeIf { (jobId, version) -> jobId !in listed && version <= revision }
        items.forEach { dispatchRecord(it.path, it.value, it.version) }
    }

    /** Applies the events of the watch, which are all changes up to [revision]. */
    fun applyWatchEvents(events: List<WatchEvent>, revision: Long) {
        events.forEach { dispatchRecord(it.path, it.value, it.version) }
        recordObserved(revision)
    }

    private fun recordObserved(revision: Long) {
        observedRevision = maxOf(observedRevision, revision)
        ended.onObserved(observedRevision)
    }

    /**
     * Applies a record that a read or a transaction of this controller has shown to be stored at [version], or deleted
     * if [value] is null.
     *
     * The change may have happened earlier: after a lost response, the outcome of a transaction is found out seconds
     * later. If the watch has delivered all changes up to [version] and the job is not live, the job has ended since.
     * Adding it again would report it as queued to a user who has already been told that it ended.
     */
    fun applyRecord(path: String, value: Fields?, version: Long) {
        if (path.startsWith(Keys.LIVE_JOBS)) {
            val jobId = jobIdOf(path)
            val isObserved = version <= observedRevision
            if (value == null && !isObserved) ended.recordRemoval(jobId, version)
            if (value != null && isObserved && jobId !in liveJobs) return
        }
        dispatchRecord(path, value, version)
    }

    /** Applies a record from any source, by the kind of its key. An outdated live record has no effect. */
    private fun dispatchRecord(path: String, value: Fields?, version: Long) {
        try {
            when {
                path.startsWith(Keys.ENDED_JOBS) -> value?.let { ended.record(jobIdOf(path), FinalRecord.parse(it)) }
                !path.startsWith(Keys.LIVE_JOBS) -> Unit
                value == null -> remove(jobIdOf(path), version)
                else -> applyLiveRecord(path, value, version)
            }
        } catch (e: MalformedException) {
            unreadable.report(path, e.message)
            if (path.startsWith(Keys.LIVE_JOBS)) unreadableLive[jobIdOf(path)] = version
        }
    }

    private fun applyLiveRecord(path: String, value: Fields, version: Long) {
        val jobId = jobIdOf(path)
        // The watch may deliver the live record after a transaction of this controller has ended the job.
        if (jobId in ended) return
        val known = liveJobs[jobId]
        if (known != null && known.version >= version) return
        putLive(jobId, LiveJob(shardOf(path), LiveRecord.parse(value), version))
        unreadableLive.remove(jobId)
    }

    private fun jobIdOf(path: String): String = path.substringAfterLast('/')

    private fun shardOf(path: String): ShardId {
        val number = path.removePrefix(Keys.LIVE_JOBS).substringBefore('/').toIntOrNull()
        if (number == null || number !in 0 until settings.shardCount) {
            throw MalformedException("live record is stored under an unknown shard")
        }
        return ShardId(number)
    }

    private fun putLive(jobId: String, job: LiveJob) {
        liveJobs[jobId]?.let {
            job.done = it.done
            job.running = it.running
        }
        liveJobs[jobId] = job
        listeners().forEach { if (it.index == job.shard) it.onJobChanged(job) }
    }

    /** Removes a live record that was deleted at [version], unless a newer one is known. */
    private fun remove(jobId: String, version: Long) {
        unreadableLive[jobId]?.let { if (it <= version) unreadableLive.remove(jobId) }
        val known = liveJobs[jobId] ?: return
        if (known.version > version) return
        liveJobs.remove(jobId)
        listeners().forEach { if (it.index == known.shard) it.onJobGone(jobId) }
    }

    /** All cancelled jobs that have not ended. */
    fun cancellations(): List<Cancellation> = liveJobs
        .filterValues { it.record.isCancelled }
        .map { (jobId, job) -> Cancellation(jobId, job.version) }

    /** Applies a cancellation reported by another controller, which the watch may not have delivered here. */
    fun applyCancellation(cancellation: Cancellation) {
        val job = liveJobs[cancellation.jobId] ?: return
        if (job.version >= cancellation.version) return
        putLive(cancellation.jobId, LiveJob(job.shard, job.record.cancelled(), cancellation.version))
    }

    /** Records the task counts that the shards' owners have published, for display. */
    fun applyProgressUpdates(updates: List<JobProgress>) {
        for (update in updates) {
            val job = liveJobs[update.jobId] ?: continue
            job.done = update.done
            job.running = update.running
        }
    }
}
