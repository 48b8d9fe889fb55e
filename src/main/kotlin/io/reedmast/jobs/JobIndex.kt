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
 * All unfinished jobs, and as many ended ones as fit, as the watch on their records shows them.
 *
 * Every controller has it, so that a question about a job need not be read from the store one by one: with hundreds of
 * users asking, those reads were more than the service takes.
 *
 * Records reach the index in three ways that overtake each other: complete readings ([applyListing]), the watch ([applyWatchEvents]), and
 * this controller's own transactions and reads ([applyRecord]), which may be ahead of the watch or, where an answer was
 * lost, seconds behind it. A job is in one of these states:
 *
 * - *unknown*: nothing is known of it; it was never accepted, or it ended long ago;
 * - *live*: its record is known, with a version;
 * - *unreadable*: it has a record that cannot be read, with a version;
 * - *ended*: it is over, see [EndedJobs].
 *
 * What may happen next:
 *
 * | event | from | to |
 * | --- | --- | --- |
 * | live record, from a reading or the watch | unknown, unreadable, live with an older version | live |
 * | live record, from an own transaction that the watch has not reached | the same | live |
 * | live record, from an own transaction that the watch has passed | live with an older version | live |
 * | the same, and the job is not live | unknown, unreadable | no change: it has ended since |
 * | live record | live with the same or a newer version, ended | no change |
 * | live record that cannot be read | unknown, unreadable, live with an older version | unreadable, or both |
 * | removal, not older than the known version | live, unreadable | unknown |
 * | removal, from an own transaction that the watch has not reached | any | ended |
 * | missing from a complete reading that is at least as new as the known version | live, unreadable | unknown |
 * | cancellation known to another controller | live with an older version | live, cancelled |
 * | end record | any | ended, and still live until the removal, which shares its transaction |
 *
 * The [listeners], read anew at each change, hear of the live jobs of their shards alone.
 */
class JobIndex(private val settings: Settings, private val listeners: () -> List<JobListener>) {
    /** Reports records that cannot be read. */
    val unreadable = UnreadableRecordLog()

    /** The jobs that are known to be over. */
    val ended = EndedJobs()
    private val live = HashMap<String, LiveJob>()

    /**
     * Unfinished jobs whose records cannot be read, by the versions of these: nobody may be told that they are unknown.
     */
    private val unreadableLive = HashMap<String, Long>()

    /** The revision up to which the watch has shown every change; 0 before the first reading. */
    private var observedRevision = 0L

    /** The unfinished job of this id, if there is one. */
    fun liveJob(jobId: String): LiveJob? = live[jobId]

    /** The unfinished jobs of the shard. */
    fun liveJobsOf(shard: ShardId): List<LiveJob> = live.values.filter { it.shard == shard }

    /** Whether the job is there, and nothing else can be said of it. */
    fun isUnreadable(jobId: String): Boolean = jobId in unreadableLive

    // ---- records ----------------------------------------------------------------------------------------------------

    /** Applies a complete reading; [revision] is what it is at least as new as. */
    fun applyListing(items: List<StoredItem>, revision: Long) {
        recordObserved(revision)
        val listed = items.mapTo(HashSet()) { jobIdOf(it.path) }
        val missing = live.filter { (jobId, job) -> jobId !in listed && job.version <= revision }.keys.toList()
        missing.forEach { remove(it, Long.MAX_VALUE) }
        unreadableLive.entries.removeIf { (jobId, version) -> jobId !in listed && version <= revision }
        items.forEach { accept(it.path, it.value, it.version) }
    }

    /** Applies what the watch shows: all changes up to [revision]. */
    fun applyWatchEvents(events: List<WatchEvent>, revision: Long) {
        events.forEach { accept(it.path, it.value, it.version) }
        recordObserved(revision)
    }

    private fun recordObserved(revision: Long) {
        observedRevision = maxOf(observedRevision, revision)
        ended.onObserved(observedRevision)
    }

    /**
     * Applies a record that a read, or a transaction of this controller's own, shows to have been stored, or (null)
     * deleted.
     *
     * It may be long ago: an answer that was lost is made up for seconds later. If the watch has shown all changes up
     * to then and the job is not among the unfinished, it is over: added again, it was called queued after its user had
     * been told of its end.
     */
    fun applyRecord(path: String, value: Fields?, version: Long) {
        if (path.startsWith(Keys.LIVE_JOBS)) {
            val jobId = jobIdOf(path)
            val isObserved = version <= observedRevision
            if (value == null && !isObserved) ended.recordRemoval(jobId, version)
            if (value != null && isObserved && jobId !in live) return
        }
        accept(path, value, version)
    }

    /** Applies a record of any origin that is not known to be outdated. */
    private fun accept(path: String, value: Fields?, version: Long) {
        try {
            when {
                path.startsWith(Keys.ENDED_JOBS) -> value?.let { ended.record(jobIdOf(path), FinalRecord.parse(it)) }
                !path.startsWith(Keys.LIVE_JOBS) -> Unit
                value == null -> remove(jobIdOf(path), version)
                else -> acceptLive(path, value, version)
            }
        } catch (e: MalformedException) {
            unreadable.report(path, e.message)
            if (path.startsWith(Keys.LIVE_JOBS)) unreadableLive[jobIdOf(path)] = version
        }
    }

    private fun acceptLive(path: String, value: Fields, version: Long) {
        val jobId = jobIdOf(path)
        // The watch may show the job after our own transaction has ended it.
        if (jobId in ended) return
        val known = live[jobId]
        if (known != null && known.version >= version) return
        put(jobId, LiveJob(shardOf(path), LiveRecord.parse(value), version))
        unreadableLive.remove(jobId)
    }

    private fun jobIdOf(path: String): String = path.substringAfterLast('/')

    private fun shardOf(path: String): ShardId {
        val number = path.removePrefix(Keys.LIVE_JOBS).substringBefore('/').toIntOrNull()
        if (number == null || number !in 0 until settings.shardCount) {
            throw MalformedException("the job belongs to no shard")
        }
        return ShardId(number)
    }

    private fun put(jobId: String, job: LiveJob) {
        live[jobId]?.let {
            job.done = it.done
            job.running = it.running
        }
        live[jobId] = job
        listeners().forEach { if (it.index == job.shard) it.onJobChanged(job) }
    }

    /** The record was removed at [version]; one that is newer stays. */
    private fun remove(jobId: String, version: Long) {
        unreadableLive[jobId]?.let { if (it <= version) unreadableLive.remove(jobId) }
        val known = live[jobId] ?: return
        if (known.version > version) return
        live.remove(jobId)
        listeners().forEach { if (it.index == known.shard) it.onJobGone(jobId) }
    }

    // ---- other controllers ------------------------------------------------------------------------------------------

    /** All cancelled jobs that are not over. */
    fun cancellations(): List<Cancellation> = live
        .filterValues { it.record.isCancelled }
        .map { (jobId, job) -> Cancellation(jobId, job.version) }

    /** Another controller knows that a job is cancelled, while the watch shows nothing. */
    fun applyCancellation(cancellation: Cancellation) {
        val job = live[cancellation.jobId] ?: return
        if (job.version >= cancellation.version) return
        put(cancellation.jobId, LiveJob(job.shard, job.record.cancelled(), cancellation.version))
    }

    /** Records the counts that the shards' owners have published, for display. */
    fun applyProgressUpdates(updates: List<JobProgress>) {
        for (update in updates) {
            val job = live[update.jobId] ?: continue
            job.done = update.done
            job.running = update.running
        }
    }
}
