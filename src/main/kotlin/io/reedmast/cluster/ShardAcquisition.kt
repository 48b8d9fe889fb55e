package io.reedmast.cluster

import io.reedmast.jobs.JobIndex
import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.ReadResult
import io.reedmast.kvstore.StoredItem
import io.reedmast.kvstore.Write
import io.reedmast.model.FencingToken
import io.reedmast.model.MachineDirectory
import io.reedmast.model.ShardRecord
import io.reedmast.ports.Clock
import io.reedmast.ports.KeyValueStore
import io.reedmast.ports.PeerMessage
import io.reedmast.ports.WorkerTransport
import io.reedmast.settings.Settings
import io.reedmast.settings.ShardId
import io.reedmast.shard.ShardOwner
import io.reedmast.wire.Reply
import org.slf4j.LoggerFactory

/**
 * When this controller takes a shard, and how.
 *
 * Taking is a conditional write of the shard's record under a fresh token. It is safe at any time; the rules here only
 * choose a good moment for it.
 */
class ShardAcquisition(
    private val settings: Settings,
    private val clock: Clock,
    private val store: KeyValueStore,
    private val workers: WorkerTransport,
    private val staleness: WatchStaleness,
    private val membership: Membership,
    private val shards: ShardTable,
    private val machines: MachineTable,
    private val jobs: JobIndex,
    private val machineDirectory: MachineDirectory,
    private val reachability: WorkerReachability,
    private val rollout: ClusterRollout,
    /** The owners of this controller's shards, by shard. */
    private val owners: Array<ShardOwner?>,
    private val newOwner: (ShardId) -> ShardOwner,
    /** Reads a key again after a change that was not applied. */
    private val reread: (String) -> Unit,
) {
    private val log = LoggerFactory.getLogger("cluster")
    private val misdirected = MisdirectedHeartbeats(settings.shardCount, settings.workers.reportS)
    private val startedAt = clock.now()

    /** A shard's record that this controller is about to store. */
    private class Claim(val shard: ShardId, val record: ShardRecord)

    /** The take that is not settled: two at once would both want the next token. */
    private var claim: Claim? = null
    private val acquiring = BooleanArray(settings.shardCount)
    private val asking = BooleanArray(settings.shardCount)
    private val notBefore = LongArray(settings.shardCount)

    /** Shards whose owners have asked the others to take them: since when, and for which term. */
    private val requests = HashMap<ShardId, Request>()

    private class Request(val at: Long, val term: Long)

    /**
     * Until then a shard that others have taken from this controller is left to them, and how long that is the next
     * time.
     */
    private var failbackNotBefore = 0L
    private var failbackDelayMs = MIN_FAILBACK_DELAY_MS

    /** Considers each shard; called while the store is heard. */
    fun runOnce(now: Long) {
        for (index in acquiring.indices) checkShard(ShardId(index), now)
    }

    /** This controller hears nothing from the store. */
    fun isCutOff(now: Long) = misdirected.isCutOff(now)

    /** Another controller has taken a shard of this controller's, and has a reason that may not be visible here. */
    fun onAcquiredByAnother() {
        // Taken home at once, the shard would go to and fro.
        failbackNotBefore = clock.now() + failbackDelayMs
        failbackDelayMs = minOf(failbackDelayMs * 2, MAX_FAILBACK_DELAY_MS)
    }

    /** The owner of a shard does not hear its workers. A late copy of its request names a term that is over. */
    fun requested(message: PeerMessage.FailoverRequest) {
        val shard = message.shard
        if (shards.records.getOrNull(shard.value)?.version != message.term) return
        if (requests[shard]?.term != message.term) requests[shard] = Request(clock.now(), message.term)
    }

    fun onNewOwner(shard: ShardId) = misdirected.newOwner(shard, clock.now())

    /**
     * Where to send a worker of [shard], which is not ours: to its owner, but not twice in a row to one that is silent.
     */
    fun redirectTarget(shard: ShardId, machineName: String, addr: String): String? {
        val facts = machineDirectory.of(machineName)
        // A new machine reports to any controller first: with a shard that grows fast, most of its workers are new
        // ones.
        val known = facts.addr == addr
        facts.addr = addr
        val again = known && misdirected.recordRedirect(shard, machineName, addr, clock.now())
        return shards.ownerOf(shard)?.takeIf { it != settings.label && !again }
    }

    private fun checkShard(shard: ShardId, now: Long) {
        if (acquiring[shard.value] || owners[shard.value] != null) return
        val owner = shards.ownerOf(shard)
        if (rollout.isDraining && owner != settings.label) return
        val wanted = isWanted(shard, owner, now)
        if (wanted && now > notBefore[shard.value]) acquireIfReachable(shard, owner, now)
        if (!wanted && owner != null && membership.isPresent(owner)) checkMisdirected(shard, now)
    }

    /**
     * Takes the shard of another controller only if its workers can be reached, or if nobody else has taken it for
     * long.
     */
    private fun acquireIfReachable(shard: ShardId, owner: String?, now: Long) {
        val addresses = machines.machinesOf(shard).mapNotNull { machineDirectory.of(it.name).addr }.toList()
        val ofAnother = owner != null && owner != settings.label
        val abandoned = ofAnother && !membership.isPresent(owner) && membership.absentForMs(owner, now) > ABANDONED_MS
        if (!ofAnother || abandoned || reachability.isRecent || addresses.isEmpty()) {
            acquire(shard)
            return
        }
        reachability.probe(shard, addresses) {
            log.info("shard {}: not acquired, its workers cannot be reached from this controller", shard.value)
            notBefore[shard.value] = clock.now() + UNREACHED_PAUSE_MS
        }
    }

    private fun isWanted(shard: ShardId, owner: String?, now: Long): Boolean {
        val home = shard.value == settings.self.value
        return when {
            owner == null -> home || now - startedAt > Membership.LEASE_MS

            owner == settings.label -> true

            !membership.isPresent(owner) -> {
                membership.absentForMs(owner, now) > turn(owner) * TURN_MS && now - startedAt > TURN_MS
            }

            isRequested(shard) -> now - (requests[shard]?.at ?: now) > turn(owner) * TURN_MS

            home -> now - startedAt > SETTLED_MS && now > failbackNotBefore && shards.countOf(owner) > 1

            else -> false
        }
    }

    private fun isRequested(shard: ShardId) =
        requests[shard]?.let { it.term == shards.records[shard.value]?.version } ?: false

    /** The controller with the least to do comes first; the others follow if it does not act. */
    private fun turn(owner: String): Int = (membership.alive() - owner - rollout.draining()).sortedWith(
        compareBy({
            shards.countOf(it)
        }, { it }),
    ).indexOf(settings.label)

    /**
     * Takes a shard whose owner lives, if its machines do not reach that owner.
     *
     * One of them must answer a call before: late copies of the reports of dead machines complain as well.
     */
    private fun checkMisdirected(shard: ShardId, now: Long) {
        if (asking[shard.value] || misdirected.none(shard)) return
        val known = machines.machinesOf(shard).count { machineDirectory.of(it.name).addr != null }
        val sample = misdirected.sampleIfMost(shard, known, now)
        val owner = shards.ownerOf(shard)
        for ((machineName, addr) in sample) {
            asking[shard.value] = true
            // Neither token nor session are the worker's: nothing is executed, and the refusal is its newest report.
            workers.call(addr, 0L, 0L, emptyList()) { reply ->
                asking[shard.value] = false
                val answers = (reply as? Reply.Answer)?.body?.get("host") == machineName
                if (answers && staleness.isCurrent && shards.ownerOf(shard) == owner && !acquiring[shard.value]) {
                    log.info("shard {}: its machines do not reach its owner {}", shard.value, owner)
                    acquire(shard)
                }
            }
        }
    }

    /** Takes the shard again for a higher token: a worker has seen one that is above ours. */
    fun renewToken(shard: ShardId) {
        if (clock.now() <= notBefore[shard.value]) return
        log.info("shard {}: acquired again, a worker has seen a higher token", shard.value)
        acquire(shard)
    }

    /** Takes a shard of this controller's again, to read what is stored of it in smaller parts. */
    fun reload(shard: ShardId) {
        if (clock.now() <= notBefore[shard.value]) return
        log.info("shard {}: acquired again, to be stored in smaller parts", shard.value)
        acquire(shard)
    }

    private fun acquire(shard: ShardId) {
        if (acquiring[shard.value] || claim != null) return
        acquiring[shard.value] = true
        notBefore[shard.value] = clock.now() + REACQUIRE_MS
        val held = shards.records[shard.value]
        val newToken = FencingToken.after(shards.token)
        val record = ShardRecord(settings.label, newToken)
        val mine = Claim(shard, record).also { claim = it }
        // A process that has not heard of a move of the gates takes nothing: it may not be able to read what it would
        // own.
        val counter = TokenCounter.moveTo(newToken, shards.tokenVersion, rollout.gates)
        val preconditions = counter.preconditions + Precondition(Keys.shard(shard.value), held?.version ?: 0L)
        val writes = listOf(Write.Put(Keys.shard(shard.value), record.toFields()), counter.write)
        store.commit(
            CasTransaction(preconditions, writes) { outcome ->
                if (claim !== mine) return@CasTransaction
                claim = null
                if (outcome is CommitOutcome.Applied) {
                    onAcquired(shard, record, outcome.revision)
                } else {
                    // Mostly another controller took the token we wanted.
                    retrySoon(shard)
                    reread(Keys.shard(shard.value))
                    reread(Keys.TOKEN)
                    if (outcome is CommitOutcome.Conflict && Keys.ROLLOUT in outcome.failed) rollout.refreshGates()
                }
            },
        )
    }

    /**
     * The watch tells of a record with this controller as owner. If it is the one that a take is about to store, the
     * shard is taken: its answer may be lost for seconds, in which an owner of before would act under the new term.
     */
    fun confirmedByWatch(shard: ShardId, record: ShardRecord, version: Long): Boolean {
        val open = claim ?: return false
        if (open.shard != shard || open.record != record) return false
        claim = null
        onAcquired(shard, record, version)
        return true
    }

    private fun onAcquired(shard: ShardId, record: ShardRecord, revision: Long) {
        val known = shards.records[shard.value]
        if (known != null && known.version > revision) {
            // Settled late, and another controller has taken the shard since.
            retrySoon(shard)
            return
        }
        owners[shard.value]?.dropped = true
        owners[shard.value] = null
        shards.applyToken(record.token, revision)
        shards.applyShard(shard, record, revision)
        val owner = newOwner(shard)
        owner.sync(record, revision)
        owners[shard.value] = owner
        read(owner)
    }

    /** After a restart of all, every second counts; the controllers do not try at the same moment. */
    private fun retrySoon(shard: ShardId) {
        acquiring[shard.value] = false
        notBefore[shard.value] = clock.now() + RETRY_ACQUIRE_MS * (settings.self.value + 1)
    }

    /** Reads the progress of a shard just taken: stored before the new term, it cannot change any more. */
    private fun read(owner: ShardOwner) {
        val shard = owner.index
        var pages: List<StoredItem>? = null
        var totals: ReadResult = ReadResult.Failed
        var open = 2
        val startedAt = clock.now()

        // A page may name a job that the watch has not told of yet: without the wait its tasks would run twice.
        fun part() {
            if (--open ==
                0
            ) {
                staleness.awaitJobsBarrier { known ->
                    finishReading(owner, pages.takeIf { known }, totals, startedAt)
                }
            }
        }
        store.list(Keys.pagesOf(shard.value)) {
            pages = it
            part()
        }
        store.get(Keys.totals(shard.value)) {
            totals = it
            part()
        }
    }

    private fun finishReading(owner: ShardOwner, pages: List<StoredItem>?, totals: ReadResult, since: Long) {
        val shard = owner.index
        acquiring[shard.value] = false
        if (owner.dropped) return
        if (pages == null || totals is ReadResult.Failed) {
            log.info("shard {}: could not be restored, will be retried", shard.value)
            owner.dropped = true
            owners[shard.value] = null
            retrySoon(shard)
            return
        }
        owner.load(jobs.liveOf(shard), pages, (totals as? ReadResult.Found)?.item)
        log.info("shard {}: restored in {} ms", shard.value, clock.now() - since)
    }

    private companion object {
        const val TURN_MS = 700L
        const val SETTLED_MS = 8_000L
        const val MIN_FAILBACK_DELAY_MS = 30_000L
        const val MAX_FAILBACK_DELAY_MS = 240_000L
        const val RETRY_ACQUIRE_MS = 100L
        const val REACQUIRE_MS = 3_000L

        /** Twice the time in which the others find that the shard needs another owner. */
        const val ABANDONED_MS = 20_000L
        const val UNREACHED_PAUSE_MS = 5_000L
    }
}
