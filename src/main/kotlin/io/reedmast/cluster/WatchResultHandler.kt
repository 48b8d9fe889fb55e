package io.reedmast.cluster

import io.reedmast.kvstore.ReadResult
import io.reedmast.kvstore.StoredItem
import io.reedmast.kvstore.UnreadableRecordLog
import io.reedmast.kvstore.WatchEvent
import io.reedmast.ports.KeyValueStore
import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import org.slf4j.LoggerFactory

/**
 * Applies what has been read from the store to the tables that hold it.
 *
 * Two watches follow the store, one on the cluster's keys and one on the jobs. Each starts with a snapshot of all its
 * keys and gets a new one after a gap.
 */
class WatchResultHandler internal constructor(
    private val store: KeyValueStore,
    tables: ClusterTables,
    private val keepLease: () -> Unit,
) {
    private val staleness = tables.staleness
    private val membership = tables.membership
    private val rollout = tables.rollout
    private val shards = tables.shards
    private val machines = tables.machines
    private val jobs = tables.jobs
    private val log = LoggerFactory.getLogger("cluster")
    private val unreadable = UnreadableRecordLog()

    /**
     * Applies a snapshot of all keys of the cluster, read at the start and after a gap in their watch. It is at least
     * as new as [revision]; the read was started at [askedAt].
     */
    fun onClusterSnapshot(items: List<StoredItem>, revision: Long, askedAt: Long) {
        membership.reset(revision)
        rollout.reset()
        items.forEach { applyRecord(it.path, it.value, it.version) }
        membership.recordAbsent(items.mapTo(HashSet()) { it.path })
        if (!staleness.clusterLoaded) {
            val ownedShards = shards.records.count { it != null }
            log.info("cluster: read from the store, {} shards, {} controllers", ownedShards, membership.presentCount)
        }
        staleness.onClusterObserved(askedAt)
        membership.shareLimits()
        keepLease()
    }

    /** Applies all changes to the cluster's keys up to [revision], from a watch request sent at [askedAt]. */
    fun onClusterEvents(events: List<WatchEvent>, revision: Long, askedAt: Long) {
        events.forEach { applyRecord(it.path, it.value, it.version) }
        membership.recordObserved(revision)
        staleness.onClusterObserved(askedAt)
    }

    /**
     * Applies a snapshot of all unfinished jobs, read at the start and after a gap in the watch on jobs. It is at least
     * as new as [revision]; the read was started at [askedAt].
     */
    fun onJobsSnapshot(items: List<StoredItem>, revision: Long, askedAt: Long) {
        jobs.applyListing(items, revision)
        if (!staleness.jobsLoaded) log.info("jobs: read from the store, {} unfinished", items.size)
        staleness.onJobsObserved(askedAt)
    }

    /** Applies all changes to jobs up to [revision], from a watch request sent at [askedAt]. */
    fun onJobEvents(events: List<WatchEvent>, revision: Long, askedAt: Long) {
        jobs.applyWatchEvents(events, revision)
        staleness.onJobsObserved(askedAt)
    }

    /** Reads one of the cluster's keys again and applies it, then calls [onDone], whatever the result. */
    internal fun reread(path: String, onDone: () -> Unit = {}) = store.get(path) {
        applyReadResult(it)
        onDone()
    }

    /** Applies the result of reading a single key; a missing key and a failed read change nothing. */
    internal fun applyReadResult(result: ReadResult) {
        if (result is ReadResult.Found) applyRecord(result.item.path, result.item.value, result.item.version)
    }

    /** Passes the key to every table; each applies only its own keys. */
    private fun applyRecord(path: String, value: Fields?, version: Long) {
        try {
            membership.applyRecord(path, value, version)
            rollout.applyRecord(path, value, version)
            shards.applyRecord(path, value, version)
            machines.applyRecord(path, value, version)
        } catch (e: MalformedException) {
            unreadable.report(path, e.message)
        }
    }
}
