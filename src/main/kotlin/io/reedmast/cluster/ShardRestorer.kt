package io.reedmast.cluster

import io.reedmast.jobs.JobIndex
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.ListResult
import io.reedmast.kvstore.ReadResult
import io.reedmast.ports.Clock
import io.reedmast.ports.KeyValueStore
import io.reedmast.shard.ShardOwner
import org.slf4j.LoggerFactory

/** Reads the stored state of a newly acquired shard, which was written before the new term and can no longer change. */
internal class ShardRestorer(
    private val clock: Clock,
    private val store: KeyValueStore,
    private val staleness: WatchStaleness,
    private val jobs: JobIndex,
    private val owners: ShardOwners,
    private val attempts: AcquisitionAttempts,
) {
    private val log = LoggerFactory.getLogger("cluster")

    /** The part of the stored state of [owner]'s shard that has been read so far. */
    private class StoredState(val owner: ShardOwner, val readStartedAt: Long) {
        /** The shard's progress pages. */
        var pages: ListResult = ListResult.Failed

        /** The shard's usage summary, which may not exist. */
        var usageSummary: ReadResult = ReadResult.Failed
        var pendingReads = 2
    }

    /**
     * Reads the stored state of [owner]'s shard and starts [owner] with it. If a read fails, drops [owner] and allows
     * another acquisition.
     */
    fun restore(owner: ShardOwner) {
        val shard = owner.index.value
        val state = StoredState(owner, clock.now())
        store.list(Keys.pagesOf(shard)) {
            state.pages = it
            onRead(state)
        }
        store.get(Keys.usageSummary(shard)) {
            state.usageSummary = it
            onRead(state)
        }
    }

    private fun onRead(state: StoredState) {
        if (--state.pendingReads > 0) return
        // A page may name a job that the watch has not delivered yet; without this wait its tasks would run twice.
        staleness.awaitJobsBarrier { jobsKnown -> finish(state, jobsKnown) }
    }

    private fun finish(state: StoredState, jobsKnown: Boolean) {
        val owner = state.owner
        val pages = state.pages
        val usageSummary = state.usageSummary
        attempts.end(owner.index)
        if (owner.dropped) return
        if (!jobsKnown || pages !is ListResult.Listing || usageSummary is ReadResult.Failed) {
            log.info("shard {}: could not be restored, acquisition will be retried", owner.index.value)
            owners.drop(owner.index)
            attempts.retrySoon(owner.index)
            return
        }
        val live = jobs.liveJobsOf(owner.index)
        log.info(
            "shard {}: jobs known through revision {} as of {} ms ago, {} of {} cancelled",
            owner.index.value,
            jobs.observedRevision,
            staleness.ageMs(),
            live.count { it.record.isCancelled },
            live.size,
        )
        owner.restore(live, pages.items, (usageSummary as? ReadResult.Found)?.item)
        log.info("shard {}: restored in {} ms", owner.index.value, clock.now() - state.readStartedAt)
    }
}
