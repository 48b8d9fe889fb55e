package io.reedmast.app

import com.google.common.util.concurrent.RateLimiter
import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.Committer
import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.LeaseExtension
import io.reedmast.kvstore.LeaseGrant
import io.reedmast.kvstore.ListResult
import io.reedmast.kvstore.ReadResult
import io.reedmast.kvstore.StoreClient
import io.reedmast.kvstore.StoredItem
import io.reedmast.kvstore.TransactionIds
import io.reedmast.peers.PeerClient
import io.reedmast.ports.Gateway
import io.reedmast.ports.LeaseState
import io.reedmast.ports.PeerMessage
import io.reedmast.ports.ProvisioningRequest
import io.reedmast.ports.ProvisioningResult
import io.reedmast.settings.ControllerId
import io.reedmast.settings.Member
import io.reedmast.settings.Settings
import io.reedmast.wire.CloudMessages
import io.reedmast.wire.HttpCaller
import io.reedmast.wire.ListedMachine
import io.reedmast.wire.MachineType
import io.reedmast.wire.MalformedException
import io.reedmast.wire.Reply
import io.reedmast.wire.WorkerCommand
import io.reedmast.wire.WorkerReplies
import org.slf4j.LoggerFactory
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit

/** Hands calls to small pools of threads and brings their results back to the deciding thread. */
class NetworkGateway(
    private val settings: Settings,
    private val eventLoop: EventLoop,
    private val client: StoreClient,
    limits: EffectiveLimits,
    incarnation: String,
    private val onEnd: (reason: String) -> Unit,
) : Gateway {
    private val log = LoggerFactory.getLogger("cloud")
    private val committer =
        Committer(client, limits, submissionsQueued(limits), TransactionIds(incarnation)) { change, outcome ->
            eventLoop.post { change.done(outcome) }
        }
    private val reads = WorkPool("read", READ_THREADS, READS_QUEUED)
    private val leases = WorkPool("lease", 1, 4)
    private val directs = WorkPool("direct", DIRECT_THREADS, DIRECTS_QUEUED)
    private val cloudCalls = WorkPool("cloud", 2, CLOUD_QUEUED)
    private val peers = otherMembers().associateWith { Peer(settings.members[it.value]) }

    /** With many machines, hundreds of connections to them would lie idle that the workers' own connections need. */
    @Volatile
    private var scarceSockets = false
    private val workerCaller = HttpCaller(WORKER_CONNECT_MS, WORKER_READ_MS) { !scarceSockets }
    private val cloudCaller = HttpCaller(CLOUD_CONNECT_MS, CLOUD_READ_MS)
    private val cloudLimit = RateLimiter.create(settings.cloudLimits.requestsPerS / settings.members.size)

    /** Those that wait longer would be asked for again before they are stored. */
    private fun submissionsQueued(limits: EffectiveLimits): Int =
        (limits.target.writesPerS / settings.members.size * SUBMISSIONS_WAIT_S).toInt().coerceIn(
            FEWEST_SUBMISSIONS_QUEUED,
            MAX_SUBMISSIONS_QUEUED,
        )

    override val isAvailable: Boolean get() = committer.answering

    fun start() {
        repeat(COMMIT_THREADS) { startThread("commit-$it", committer::run) }
    }

    override fun commit(transaction: CasTransaction, refusable: Boolean): Boolean =
        committer.offer(transaction, refusable)

    override fun get(path: String, done: (ReadResult) -> Unit) = call(reads, {
        client.get(path)
    }, ReadResult.Failed, done)

    override fun list(prefix: String, done: (List<StoredItem>?) -> Unit) = call(reads, {
        (client.list(prefix) as? ListResult.Listing)?.items
    }, null, done)

    override fun writePermitLevel(): Double = client.writeLimiter.permitLevel()

    override fun broadcast(message: PeerMessage) = peers.keys.forEach { send(it, message) }

    override fun send(peer: ControllerId, message: PeerMessage) {
        val to = peers[peer] ?: return
        call(to.calls, { to.client.send(message) }, false, {})
    }

    private fun otherMembers() = settings.members.indices.map { ControllerId(it) }.filter { it != settings.self }

    /**
     * The connection to one other controller, with a thread of its own: one that hangs holds up no messages to others.
     */
    private class Peer(member: Member) {
        val client = PeerClient(member.address)
        val calls = WorkPool("peer-${member.label}", 1, PEER_CALLS_QUEUED)
    }

    override fun call(addr: String, token: Long, epoch: Long, commands: List<WorkerCommand>, done: (Reply) -> Unit) {
        val body = WorkerReplies.directCall(token, epoch, commands)
        call(directs, {
            workerCaller.call("POST", addr, "/do", body)
        }, Reply.NotSent("too many calls"), done, STALE_DIRECT_MS)
    }

    override fun provision(request: ProvisioningRequest, done: (ProvisioningResult) -> Unit) {
        val body = CloudMessages.rental(
            request.requestName,
            request.typeName,
            request.zone,
            request.spot,
            request.count,
        )
        call(cloudCalls, { provisioned(cloud("POST", "/machines", body)) }, ProvisioningResult.Failed, done)
    }

    private fun provisioned(reply: Reply): ProvisioningResult {
        if (reply !is Reply.Answer) return ProvisioningResult.Failed
        return when (reply.status) {
            200 -> reading { ProvisioningResult.Machines(CloudMessages.rentedMachines(reply.body)) }
                ?: ProvisioningResult.Failed
            503 -> if (CloudMessages.isOutOfCapacity(
                    reply.body,
                )
            ) {
                ProvisioningResult.NoCapacity
            } else {
                ProvisioningResult.Failed
            }
            400 -> ProvisioningResult.NoCapacity
            else -> ProvisioningResult.Failed
        }
    }

    override fun returnMachines(machineNames: List<String>, done: (Boolean) -> Unit) = call(
        cloudCalls,
        { (cloud("POST", "/machines/return", CloudMessages.returnOf(machineNames)) as? Reply.Answer)?.status == 200 },
        false,
        done,
        STALE_RETURN_MS,
    )

    override fun listMachines(done: (List<ListedMachine>?) -> Unit) = call(cloudCalls, ::allMachines, null, done)

    private fun allMachines(): List<ListedMachine>? {
        val machines = ArrayList<ListedMachine>()
        while (true) {
            val after = machines.lastOrNull()?.let { "after=${it.name}&" }.orEmpty()
            val reply = cloud("GET", "/machines?${after}most=$MACHINES_PER_PAGE") as? Reply.Answer ?: return null
            if (reply.status != 200) return null
            val more =
                reading {
                    machines.addAll(CloudMessages.listedMachines(reply.body))
                    CloudMessages.hasMore(reply.body)
                } ?: return null
            if (!more) return machines
        }
    }

    override fun machineTypes(done: (List<MachineType>?) -> Unit) = call(
        cloudCalls,
        {
            (cloud("GET", "/flavors") as? Reply.Answer)?.takeIf {
                it.status == 200
            }?.let { reading { MachineType.parseAll(it.body) } }
        },
        null,
        done,
    )

    override fun extendLease(lease: Long?, lifeMs: Long, done: (LeaseState) -> Unit) = call(
        leases,
        {
            if (lease == null) {
                when (val grant = client.grantLease(lifeMs)) {
                    is LeaseGrant.Granted -> LeaseState.Held(grant.lease, isNew = true)
                    LeaseGrant.Failed -> LeaseState.Unknown
                }
            } else {
                when (client.extendLease(lease)) {
                    LeaseExtension.EXTENDED -> LeaseState.Held(lease, isNew = false)
                    LeaseExtension.EXPIRED -> LeaseState.Lost
                    LeaseExtension.UNKNOWN -> LeaseState.Unknown
                }
            }
        },
        LeaseState.Unknown,
        done,
    )

    override fun end(reason: String) = onEnd(reason)

    override fun expectMachines(count: Int) {
        scarceSockets = count > settings.maxConnections * SCARCE_AT
    }

    override fun shareLimits(aliveControllers: Int, leading: Boolean) {
        client.shareAmong(aliveControllers)
        // The leader rents and lists; the others only return machines.
        val part = if (aliveControllers == 1) {
            1.0
        } else if (leading) {
            LEADERS_PART
        } else {
            (1.0 - LEADERS_PART) / (aliveControllers - 1)
        }
        cloudLimit.rate = settings.cloudLimits.requestsPerS * part * SAFETY
    }

    private fun cloud(method: String, path: String, body: Map<String, Any?>? = null): Reply {
        if (!cloudLimit.tryAcquire(
                CLOUD_PATIENCE_S,
                TimeUnit.SECONDS,
            )
        ) {
            return Reply.NotSent("over this controller's part of the limit")
        }
        val reply = cloudCaller.call(method, settings.cloudAddress, path, body)
        if (reply !is Reply.Answer || reply.status != 200) log.info("{} {}: {}", method, path, reply)
        return reply
    }

    private inline fun <T> reading(read: () -> T): T? = try {
        read()
    } catch (e: MalformedException) {
        log.error("cloud: malformed answer: {}", e.message)
        null
    }

    /**
     * Has [ask] done by [pool], unless it comes to its turn more than [staleMs] later.
     *
     * What was decided seconds ago may be wrong by now: the process may have stood still meanwhile and been replaced,
     * or hung machines kept the threads. No rule rests on it, but a machine might be returned that another owner has
     * filled.
     */
    private fun <T> call(pool: WorkPool, ask: () -> T, refused: T, done: (T) -> Unit, staleMs: Long = Long.MAX_VALUE) {
        val decidedAt = System.nanoTime()
        try {
            pool.execute {
                val late = (System.nanoTime() - decidedAt) / 1_000_000 > staleMs
                val result = if (late) refused else ask()
                eventLoop.post { done(result) }
            }
        } catch (e: RejectedExecutionException) {
            eventLoop.post { done(refused) }
        }
    }

    companion object {
        private const val COMMIT_THREADS = 3
        private const val MAX_SUBMISSIONS_QUEUED = 64
        private const val FEWEST_SUBMISSIONS_QUEUED = 12
        private const val SUBMISSIONS_WAIT_S = 4.0
        private const val READ_THREADS = 4
        private const val READS_QUEUED = 200
        private const val DIRECT_THREADS = 16
        private const val DIRECTS_QUEUED = 400
        private const val CLOUD_QUEUED = 40
        private const val PEER_CALLS_QUEUED = 8
        private const val WORKER_CONNECT_MS = 800
        private const val WORKER_READ_MS = 2000
        private const val CLOUD_CONNECT_MS = 2000
        private const val CLOUD_READ_MS = 6000
        private const val CLOUD_PATIENCE_S = 10L
        private const val MACHINES_PER_PAGE = 500
        private const val LEADERS_PART = 0.6
        private const val SAFETY = 0.95
        private const val SCARCE_AT = 0.6
        private const val STALE_DIRECT_MS = 5_000L
        private const val RESTART_PAUSE_MS = 500L
        private const val STALE_RETURN_MS = 15_000L

        /**
         * Starts a thread for [body]; one that fails is begun again, since a controller without it would be up and do
         * nothing.
         */
        fun startThread(name: String, body: () -> Unit): Thread = Thread({ keepDoing(name, body) }, name).apply {
            isDaemon =
                true
        }.also { it.start() }

        private fun keepDoing(name: String, body: () -> Unit) {
            while (true) {
                try {
                    body()
                    return
                } catch (e: RuntimeException) {
                    LoggerFactory.getLogger("main").error("thread {}: failed and restarts", name, e)
                    Thread.sleep(RESTART_PAUSE_MS)
                }
            }
        }
    }
}
