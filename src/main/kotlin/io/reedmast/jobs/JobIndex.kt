package io.reedmast.jobs

import com.github.benmanes.caffeine.cache.Caffeine
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
import io.reedmast.wire.map

/**
 * All unfinished jobs, and as many ended ones as fit, as the watch on their records tells.
 *
 * Every controller has it, so that a question about a job need not be read from the store one by one: with hundreds of
 * users asking, those reads were more than the service takes.
 */
class JobIndex(private val settings: Settings, private val listeners: () -> List<JobListener>) {
    val unreadable = UnreadableRecordLog()
    private val live = HashMap<String, LiveJob>()

    /** The revision up to which the watch has told of every change; 0 before the first reading. */
    private var observedRevision = 0L

    /**
     * Jobs whose end this controller knows from its own change, by the change's revision, until the watch has told as
     * much.
     */
    private val endedHere = HashMap<String, Long>()

    /**
     * Unfinished jobs whose records cannot be read, by the versions of these: nobody may be told that they are unknown.
     */
    private val unreadableLive = HashMap<String, Long>()

    /** Final states never change, so those that do not fit are read again. */
    private val ends = Caffeine.newBuilder().maximumSize(ENDS_KEPT).executor(Runnable::run).build<String, EndRecord>()

    fun live(jobId: String): LiveJob? = live[jobId]

    /** Whether the job is there, and nothing else can be said of it. */
    fun isUnreadable(jobId: String): Boolean = jobId in unreadableLive

    fun end(jobId: String): EndRecord? = ends.getIfPresent(jobId)

    fun recordEnd(jobId: String, end: EndRecord) = ends.put(jobId, end)

    fun liveOf(shard: ShardId): List<LiveJob> = live.values.filter { it.shard == shard }

    /** Takes up a complete reading; [revision] is what it is at least as new as. */
    fun load(items: List<StoredItem>, revision: Long) {
        recordObserved(revision)
        val listed = items.mapTo(HashSet()) { it.path.substringAfterLast('/') }
        live.filter { (jobId, job) ->
            jobId !in listed && job.version <= revision
        }.keys.toList().forEach { remove(it, Long.MAX_VALUE) }
        unreadableLive.entries.removeIf { (jobId, version) -> jobId !in listed && version <= revision }
        items.forEach { accept(it.path, it.value, it.version) }
    }

    /** Takes up what the watch tells: all changes up to [revision]. */
    fun follow(events: List<WatchEvent>, revision: Long) {
        events.forEach { accept(it.path, it.value, it.version) }
        recordObserved(revision)
    }

    private fun recordObserved(revision: Long) {
        observedRevision = maxOf(observedRevision, revision)
        endedHere.values.removeIf { it <= observedRevision }
    }

    /**
     * Takes up a record that a read, or a change of this controller's own, shows to have been stored, or (null)
     * deleted.
     *
     * It may be long ago: an answer that was lost is made up for seconds later. If the watch has told of all changes up
     * to then and the job is not among the unfinished, it is over: taken up again, it was called queued after its user
     * had been told of its end.
     */
    fun applyRecord(path: String, value: Fields?, version: Long) {
        val jobId = path.substringAfterLast('/')
        if (path.startsWith(Keys.LIVE)) {
            if (value == null && version > observedRevision) endedHere[jobId] = version
            if (value != null && version <= observedRevision && jobId !in live) return
        }
        accept(path, value, version)
    }

    private fun accept(path: String, value: Fields?, version: Long) {
        val jobId = path.substringAfterLast('/')
        try {
            when {
                path.startsWith(Keys.ENDS) -> if (value != null) recordEnd(jobId, EndRecord.parse(value))
                !path.startsWith(Keys.LIVE) -> {}
                value == null -> remove(jobId, version)
                else -> put(jobId, path.removePrefix(Keys.LIVE).substringBefore('/').toIntOrNull(), value, version)
            }
        } catch (e: MalformedException) {
            unreadable.report(path, e.message)
            if (path.startsWith(Keys.LIVE)) unreadableLive[jobId] = version
        }
    }

    private fun put(jobId: String, shard: Int?, value: Fields, version: Long) {
        // The watch may tell of the job after our own change has ended it.
        if (jobId in endedHere || ends.getIfPresent(jobId) != null) return
        val known = live[jobId]
        if (known != null && known.version >= version) return
        if (shard == null ||
            shard !in 0 until settings.shardCount
        ) {
            throw MalformedException("the job belongs to no shard")
        }
        put(jobId, LiveJob(ShardId(shard), LiveRecord.parse(value), version))
        unreadableLive.remove(jobId)
    }

    private fun put(jobId: String, job: LiveJob) {
        live[jobId]?.let {
            job.done = it.done
            job.running = it.running
        }
        live[jobId] = job
        listeners().forEach { if (it.index == job.shard) it.onJobChanged(job) }
    }

    private fun remove(jobId: String, version: Long) {
        unreadableLive[jobId]?.let { if (it <= version) unreadableLive.remove(jobId) }
        val known = live[jobId] ?: return
        if (known.version > version) return
        live.remove(jobId)
        listeners().forEach { if (it.index == known.shard) it.onJobGone(jobId) }
    }

    /** All cancelled jobs that are not over. */
    fun cancellations(): List<Cancellation> = live.filterValues {
        it.record.isCancelled
    }.map { (jobId, job) -> Cancellation(jobId, job.version) }

    /** Another controller knows that a job is cancelled, while the watch tells nothing. */
    fun applyCancellation(cancellation: Cancellation) {
        val job = live[cancellation.jobId] ?: return
        if (job.version <
            cancellation.version
        ) {
            put(cancellation.jobId, LiveJob(job.shard, job.record.cancelled(), cancellation.version))
        }
    }

    fun applyProgressUpdates(progress: List<JobProgress>) {
        for (of in progress) {
            live[of.jobId]?.apply {
                done = of.done
                running = of.running
            }
        }
    }

    private companion object {
        const val ENDS_KEPT = 20_000L
    }
}
