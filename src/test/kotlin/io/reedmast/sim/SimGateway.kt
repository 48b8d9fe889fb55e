package io.reedmast.sim

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitQueue
import io.reedmast.kvstore.CommitReply
import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.InDoubtResolution
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.ListResult
import io.reedmast.kvstore.ReadResult
import io.reedmast.kvstore.ResolutionStep
import io.reedmast.kvstore.StoreTransaction
import io.reedmast.kvstore.TransactionIds
import io.reedmast.kvstore.Write
import io.reedmast.kvstore.WriteRateLimiter
import io.reedmast.ports.CloudListing
import io.reedmast.ports.Gateway
import io.reedmast.ports.LeaseState
import io.reedmast.ports.PeerMessage
import io.reedmast.ports.ProvisioningRequest
import io.reedmast.ports.ProvisioningResult
import io.reedmast.ports.ReturnResult
import io.reedmast.settings.ControllerId
import io.reedmast.wire.CloudMessages
import io.reedmast.wire.Fields
import io.reedmast.wire.ListedMachine
import io.reedmast.wire.MachineType
import io.reedmast.wire.Reply
import io.reedmast.wire.StoreMessages
import io.reedmast.wire.WorkerCommand
import io.reedmast.wire.WorkerReplies
import io.reedmast.wire.WorkerStatus
import kotlin.random.Random

/**
 * All I/O of the process of a [SimController] with the number [processNumber]; its results depend on the faults that
 * are injected into the [World].
 */
class SimGateway(
    private val world: World,
    private val controller: SimController,
    private val processNumber: Int,
    private val limits: EffectiveLimits,
    incarnation: String,
) : Gateway {
    private val store get() = world.store
    private val slowdown get() = world.storeSlowdown
    private val writeLimiter = WriteRateLimiter(world.writesPerS, world::now)
    private val queue = CommitQueue(limits.target, writeLimiter, MAX_QUEUED_SUBMISSIONS, world::now)
    private val ids = TransactionIds(incarnation)
    private val jitter = Random(processNumber * 31 + controller.index)
    private var idleCommitters = COMMITTERS
    private var drainScheduled = false

    override var isAvailable = true
        private set

    private val reachable: Boolean get() = controller.reachesStore && controller.processNumber == processNumber

    private fun record(kind: String, body: Fields) {
        world.recorder?.record(world.now(), controller.label, kind, body)
    }

    private fun <T> reply(ms: Long, done: (T) -> Unit, compute: () -> T) = world.after(ms) {
        // The result is computed now; a paused process receives it, outdated as it may be, at the end of the pause.
        if (controller.processNumber == processNumber) {
            val result = compute()
            controller.later(0) { if (controller.processNumber == processNumber) done(result) }
        }
    }

    override fun commit(transaction: CasTransaction, refusable: Boolean): Boolean {
        if (controller.predatesRollouts && transaction.writes.any { it.path == Keys.FORMAT }) return true
        if (!queue.offer(
                if (controller.predatesRollouts) asBeforeRollouts(transaction) else transaction,
                refusable,
            )
        ) {
            return false
        }
        drain()
        return true
    }

    private fun asBeforeRollouts(transaction: CasTransaction) = CasTransaction(
        transaction.preconditions.filter { it.path != Keys.ROLLOUT },
        transaction.writes.map {
            if (it is Write.Put) it.copy(value = SimController.asBeforeRollouts(it.path, it.value)) else it
        },
        transaction.writePriority,
        transaction.done,
    )

    private fun drain() {
        while (idleCommitters > 0) {
            when (val polled = queue.poll()) {
                is CommitQueue.Polled.Batch -> {
                    idleCommitters--
                    resolve(
                        InDoubtResolution(polled.transactions, ids, jitter::nextDouble) { transaction, outcome ->
                            transaction.done(outcome)
                        },
                    )
                }

                is CommitQueue.Polled.Wait -> {
                    if (!drainScheduled) {
                        drainScheduled = true
                        controller.later(polled.forMs) {
                            drainScheduled = false
                            if (controller.processNumber == processNumber) drain()
                        }
                    }
                    return
                }

                CommitQueue.Polled.Empty -> return
            }
        }
    }

    private fun resolve(resolution: InDoubtResolution) {
        when (val step = resolution.nextStep()) {
            is ResolutionStep.Send -> controller.later(step.pauseMs) {
                if (controller.processNumber == processNumber) {
                    send(step.transaction) {
                        isAvailable = it !is CommitReply.NotExecuted && it !is CommitReply.Unknown
                        if (it is CommitReply.Malformed && limits.exceedsOnlyReduced(step.transaction)) limits.reduce()
                        if (it is CommitReply.RateLimited) writeLimiter.empty()
                        resolution.onReply(it)
                        resolve(resolution)
                    }
                }
            }

            is ResolutionStep.Read -> controller.later(step.pauseMs) {
                if (controller.processNumber == processNumber) {
                    get(step.path) {
                        resolution.onReadResult(it)
                        resolve(resolution)
                    }
                }
            }

            ResolutionStep.Done -> {
                idleCommitters++
                drain()
            }
        }
    }

    private fun record(transaction: StoreTransaction) {
        val preconditions = transaction.preconditions.map { StoreMessages.precondition(it.path, it.version) }
        val writes = transaction.writes.map {
            when (it) {
                is Write.Put -> StoreMessages.put(it.path, it.value, it.lease, transaction.id)
                is Write.Delete -> StoreMessages.delete(it.path)
            }
        }
        record("commit", StoreMessages.transaction(preconditions, writes))
    }

    private fun send(transaction: StoreTransaction, done: (CommitReply) -> Unit) {
        record(transaction)
        val delayMs = controller.commitDelayMs
        if (delayMs > 0L && transaction.writes.any { controller.delayedCommitKey in it.path }) {
            controller.commitDelayMs = 0L
            world.after(delayMs) {
                val outcome = store.commit(transaction)
                reply(REPLY_DELAY_MS, done) { outcome }
            }
            return
        }
        val lostReplyKey = controller.loseCommitReplyFor
        if (lostReplyKey != null && transaction.writes.any { lostReplyKey in it.path }) {
            controller.loseCommitReplyFor = null
            world.after(SEND_DELAY_MS * slowdown) { if (reachable) store.commit(transaction) }
            reply(COMMIT_TIMEOUT_MS, done) { CommitReply.Unknown }
            return
        }
        val chance = world.random.nextDouble()
        when {
            chance < world.delayedCommitRate -> {
                world.after(world.random.nextLong(MIN_COMMIT_DELAY_MS, MAX_COMMIT_DELAY_MS)) {
                    if (store.up) store.commit(transaction)
                }
                reply(COMMIT_TIMEOUT_MS, done) { CommitReply.Unknown }
            }

            chance < world.delayedCommitRate + world.lostReplyRate -> {
                world.after(SEND_DELAY_MS * slowdown) { if (reachable) store.commit(transaction) }
                reply(COMMIT_TIMEOUT_MS, done) { CommitReply.Unknown }
            }

            else -> controller.later(SEND_DELAY_MS * slowdown) {
                if (controller.processNumber != processNumber) return@later
                if (controller.partitionedFromStore) {
                    reply(COMMIT_TIMEOUT_MS, done) { CommitReply.Unknown }
                } else {
                    val outcome = if (store.up) store.commit(transaction) else CommitReply.NotExecuted
                    reply(REPLY_DELAY_MS, done) { outcome }
                }
            }
        }
    }

    override fun get(path: String, done: (ReadResult) -> Unit) {
        record("get $path", emptyMap())
        reply(GET_DELAY_MS * slowdown, done) {
            if (!reachable) {
                ReadResult.Failed
            } else {
                store.get(path)?.let { ReadResult.Found(controller.asVisible(it)) }
                    ?: ReadResult.Missing
            }
        }
    }

    override fun list(prefix: String, done: (ListResult) -> Unit) {
        record("list $prefix", emptyMap())
        reply(LIST_DELAY_MS * slowdown, { _: Unit -> controller.list(processNumber, prefix, done) }) {}
    }

    override fun writePermitLevel(): Double = writeLimiter.permitLevel()

    override fun extendLease(lease: Long?, lifeMs: Long, done: (LeaseState) -> Unit) {
        record("lease $lease", StoreMessages.leaseRequest(lifeMs))
        reply(GET_DELAY_MS, done) {
            when {
                !reachable -> LeaseState.Unknown
                lease == null -> LeaseState.Held(store.grantLease(lifeMs), true)
                store.extendLease(lease, lifeMs) -> LeaseState.Held(lease, false)
                else -> LeaseState.Expired
            }
        }
    }

    override fun shareLimits(aliveControllers: Int, leading: Boolean) =
        writeLimiter.setRate(world.writesPerS * WRITE_RATE_MARGIN / aliveControllers)

    override fun broadcast(message: PeerMessage) {
        world.controllers.filter { it.index != controller.index }.forEach { send(ControllerId(it.index), message) }
    }

    override fun send(peer: ControllerId, message: PeerMessage) {
        val to = world.controllers[peer.value]
        world.recorder?.record(world.now(), "${controller.label} to ${to.label}", message)
        if (!controller.partitionedFromPeers && !to.partitionedFromPeers) to.receive(message)
    }

    override fun call(addr: String, token: Long, epoch: Long, commands: List<WorkerCommand>, done: (Reply) -> Unit) {
        world.messageCount++
        record("direct $addr", WorkerReplies.directCall(token, epoch, commands))
        world.messageSizeRule.checkCommands(addr, token, commands)
        val worker = world.workerAt(addr)
        if (worker != null) world.cancelledTaskRule.checkDirectCall(controller, worker, token, epoch, commands)
        val delayMs = controller.directCallDelayMs
        controller.directCallDelayMs = 0L
        when {
            worker == null || controller.partitionedFromWorkers || worker.partitioned -> reply(
                NO_ROUTE_DELAY_MS,
                done,
            ) {
                Reply.NotSent("no route")
            }

            worker.unreachable -> reply(DIRECT_CALL_TIMEOUT_MS, done) { Reply.Unanswered("unreachable") }

            delayMs > 0L -> {
                world.after(delayMs) { worker.handleDirectCall(token, epoch, commands) }
                world.directCallCopies.schedule(world, worker) { worker.handleDirectCall(token, epoch, commands) }
                reply(DIRECT_CALL_TIMEOUT_MS, done) { Reply.Unanswered("delayed") }
            }

            worker.hung -> {
                worker.whenResumed { worker.handleDirectCall(token, epoch, commands) }
                world.directCallCopies.schedule(world, worker) { worker.handleDirectCall(token, epoch, commands) }
                reply(DIRECT_CALL_TIMEOUT_MS, done) { Reply.Unanswered("hung") }
            }

            else -> controller.later(DIRECT_CALL_DELAY_MS) {
                if (controller.processNumber != processNumber) return@later
                val answer = worker.handleDirectCall(token, epoch, commands)
                if (world.directCallRepeatDelayMs >
                    0L
                ) {
                    world.after(world.directCallRepeatDelayMs) { worker.handleDirectCall(token, epoch, commands) }
                }
                world.directCallCopies.schedule(world, worker) { worker.handleDirectCall(token, epoch, commands) }
                reply(DIRECT_CALL_DELAY_MS, { it: Reply -> deliverReply(it, done) }) { answer }
            }
        }
    }

    private fun deliverReply(reply: Reply, done: (Reply) -> Unit) {
        if (reply is Reply.Answer) {
            world.cancelledTaskRule.recordStatus(controller, WorkerStatus.parse(reply.body))
        }
        done(reply)
    }

    override fun terminate(reason: String) {
        record("end", emptyMap())
        controller.terminate(reason)
    }

    override fun expectMachines(count: Int) = Unit

    override fun provision(request: ProvisioningRequest, done: (ProvisioningResult) -> Unit) {
        record(
            "rent",
            CloudMessages.rentalRequest(
                request.requestName,
                request.typeName,
                request.zone,
                request.spot,
                request.count,
            ),
        )
        if (world.provisioningReplyDelayMs == 0L && world.provisioningRepliesToLose == 0) {
            reply(CLOUD_DELAY_MS, done) { world.provision(request) }
            return
        }
        world.after(CLOUD_DELAY_MS) {
            val result = world.provision(request)
            val isLost = world.provisioningRepliesToLose > 0
            if (isLost) world.provisioningRepliesToLose--
            reply(world.provisioningReplyDelayMs, done) { if (isLost) ProvisioningResult.Failed else result }
        }
    }

    override fun returnMachines(machineNames: List<String>, done: (ReturnResult) -> Unit) {
        record("return", CloudMessages.returnRequest(machineNames))
        world.after(CLOUD_DELAY_MS) {
            val result = world.returnMachines(machineNames)
            reply(1, done) { result }
        }
    }

    override fun listMachines(done: (CloudListing<ListedMachine>) -> Unit) {
        record("machines", emptyMap())
        reply(CLOUD_DELAY_MS, done) {
            val machines = world.workers.values.map {
                ListedMachine(it.name, it.addr, it.machineType.label, it.zone, it.spot, "running", 0.0)
            }
            CloudListing.Complete(machines)
        }
    }

    override fun machineTypes(done: (CloudListing<MachineType>) -> Unit) {
        record("flavors", emptyMap())
        reply(MACHINE_TYPES_DELAY_MS, done) { CloudListing.Complete(world.machineTypes) }
    }

    private companion object {
        const val COMMITTERS = 3
        const val MAX_QUEUED_SUBMISSIONS = 64
        const val WRITE_RATE_MARGIN = 0.9
        const val SEND_DELAY_MS = 3L
        const val REPLY_DELAY_MS = 3L
        const val GET_DELAY_MS = 4L
        const val LIST_DELAY_MS = 5L
        const val CLOUD_DELAY_MS = 200L
        const val MACHINE_TYPES_DELAY_MS = 100L
        const val DIRECT_CALL_DELAY_MS = 2L
        const val NO_ROUTE_DELAY_MS = 800L
        const val DIRECT_CALL_TIMEOUT_MS = 2_500L
        const val COMMIT_TIMEOUT_MS = 2_500L
        const val MIN_COMMIT_DELAY_MS = 2_000L
        const val MAX_COMMIT_DELAY_MS = 12_000L
    }
}
