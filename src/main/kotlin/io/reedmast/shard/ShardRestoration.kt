package io.reedmast.shard

import io.reedmast.autoscaling.UsageSummaryWriter
import io.reedmast.gangs.GangCoordinator
import io.reedmast.jobs.LiveJob
import io.reedmast.kvstore.StoredItem
import io.reedmast.model.Job
import io.reedmast.model.Placement
import io.reedmast.model.ShardState
import io.reedmast.persistence.PageFormat
import io.reedmast.persistence.ProgressStore
import io.reedmast.wire.MalformedException

/** Restores the state of a shard from its stored records, once after the shard's acquisition. */
internal class ShardRestoration(
    private val shardState: ShardState,
    private val jobs: ShardJobs,
    private val machines: ShardMachines,
    private val progressStore: ProgressStore,
    private val usageSummaryWriter: UsageSummaryWriter,
    private val gangs: GangCoordinator,
) {
    private val clock = shardState.clock

    /** The [pages] were listed after this owner's token was stored, and [live] is at least as new. */
    fun restore(live: List<LiveJob>, pages: List<StoredItem>, usageSummary: StoredItem?) {
        if (pages.any { hasChunkSizes(it) }) shardState.limits.reduce()
        machines.syncWithRecords()
        usageSummary?.let { usageSummaryWriter.load(it) }
        live.forEach { jobs.add(it) }
        restoreProgress(live, pages)
        resumeJobs()
    }

    /**
     * Whether the page has the form that the reduced limits require. Only a controller that knows that every controller
     * reads such pages stores them.
     */
    private fun hasChunkSizes(page: StoredItem): Boolean = try {
        PageFormat.hasChunkSizes(page.value)
    } catch (ignored: MalformedException) {
        // Reported when the page's content is read.
        false
    }

    private fun restoreProgress(live: List<LiveJob>, pages: List<StoredItem>) {
        val chunkSizes = live.associate { it.record.spec.jobId to it.record.chunkSize }
        progressStore.load(pages, chunkSizes) { job, stored ->
            val machine = machines.machineOfStoredPlacement(stored.machineName)
            val placement = Placement(job, stored.task, stored.attempt, machine, clock.now())
            placement.committed = true
            shardState.place(placement)
        }
    }

    /**
     * Continues what the previous owner began: starting gangs, waits, cancellations and ends of jobs not yet stored.
     */
    private fun resumeJobs() {
        val restored = shardState.jobs.values
        restored.forEach { gangs.onRestored(it) }
        restored.forEach { countWaitFromAcceptance(it) }
        restored.filter { it.isCancelled }.forEach { jobs.stopAll(it) }
        shardState.changedJobs.addAll(restored)
    }

    /**
     * A job of which no task is placed or done has been waiting since its acceptance, whichever controller owned the
     * shard. Otherwise each failover would prolong its wait.
     */
    private fun countWaitFromAcceptance(job: Job) {
        if (job.placedCount > 0 || job.doneCount > 0) return
        job.restartWaiting(clock.now() - maxOf(0L, clock.wallTime() - job.acceptedAtMs))
    }
}
