package io.reedmast.app

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.Committer
import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.LeaseExtension
import io.reedmast.kvstore.LeaseGrant
import io.reedmast.kvstore.ListResult
import io.reedmast.kvstore.ReadResult
import io.reedmast.kvstore.TransactionIds
import io.reedmast.ports.KeyValueStore
import io.reedmast.ports.LeaseState

/**
 * The store over the network. Transactions are sent by the committing threads, which [start] starts. Reads and leases
 * have a thread pool each, so that slow reads never delay the renewal of the controller's lease.
 */
internal class StoreGateway(
    access: StoreAccess,
    private val calls: AsyncCalls,
    eventLoop: EventLoop,
    controllers: Int,
) : KeyValueStore {
    private val client = access.client
    private val committer = Committer(
        client,
        access.limits,
        maxQueued(access.limits, controllers),
        TransactionIds(access.incarnation),
    ) { transaction, outcome -> eventLoop.post { transaction.done(outcome) } }
    private val reads = WorkPool("read", READ_THREADS, MAX_QUEUED_READS)
    private val leases = WorkPool("lease", LEASE_THREADS, MAX_QUEUED_LEASE_CALLS)

    override val isAvailable: Boolean get() = committer.isStoreAvailable

    /** Starts the committing threads, which run until the process ends. */
    fun start() {
        repeat(COMMIT_THREADS) { startThread("commit-$it", committer::run) }
    }

    override fun commit(transaction: CasTransaction, refusable: Boolean): Boolean =
        committer.offer(transaction, refusable)

    override fun get(path: String, done: (ReadResult) -> Unit) =
        calls.call(reads, { client.get(path) }, ReadResult.Failed, done)

    override fun list(prefix: String, done: (ListResult) -> Unit) =
        calls.call(reads, { client.list(prefix) }, ListResult.Failed, done)

    override fun writePermitLevel(): Double = client.writeLimiter.permitLevel()

    override fun extendLease(lease: Long?, lifeMs: Long, done: (LeaseState) -> Unit) =
        calls.call(leases, { if (lease == null) createLease(lifeMs) else renewLease(lease) }, LeaseState.Unknown, done)

    private fun createLease(lifeMs: Long): LeaseState = when (val grant = client.grantLease(lifeMs)) {
        is LeaseGrant.Granted -> LeaseState.Held(grant.lease, isNew = true)
        LeaseGrant.Failed -> LeaseState.Unknown
    }

    private fun renewLease(lease: Long): LeaseState = when (client.extendLease(lease)) {
        LeaseExtension.EXTENDED -> LeaseState.Held(lease, isNew = false)
        LeaseExtension.EXPIRED -> LeaseState.Expired
        LeaseExtension.UNKNOWN -> LeaseState.Unknown
    }

    private companion object {
        const val COMMIT_THREADS = 3
        const val READ_THREADS = 4
        const val MAX_QUEUED_READS = 200
        const val LEASE_THREADS = 1
        const val MAX_QUEUED_LEASE_CALLS = 4
        const val MIN_QUEUED_SUBMISSIONS = 12
        const val MAX_QUEUED_SUBMISSIONS = 64
        const val MAX_SUBMISSION_WAIT_S = 4.0

        /**
         * Limits the queue to the submissions that can be stored within [MAX_SUBMISSION_WAIT_S]: users would repeat
         * those that wait longer before they are stored.
         */
        fun maxQueued(limits: EffectiveLimits, controllers: Int): Int =
            (limits.target.writesPerS / controllers * MAX_SUBMISSION_WAIT_S).toInt()
                .coerceIn(MIN_QUEUED_SUBMISSIONS, MAX_QUEUED_SUBMISSIONS)
    }
}
