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
import kotlin.random.Random

/** All I/O of one process of a [SimController], its life number [life]: what it gets back depends on the world's troubles. */
class SimGateway(
    private val world: World,
    private val controller: SimController,
    private val life: Int,
    private val limits: EffectiveLimits,
    incarnation: String,
) : Gateway {
    private val store get() = world.store
    private val slow get() = world.storeSlowness
    private val writeLimiter = WriteRateLimiter(world.writesPerS, world::now)
    private val queue = CommitQueue(limits.target, writeLimiter, MAX_SUBMISSIONS_QUEUED, world::now)
    private val ids = TransactionIds(incarnation)
    private val jitter = Random(life * 31 + controller.index)
    private var idleCommitters = COMMITTERS
    private var waiting = false

    override var isAvailable = true
        private set

    private val reachable: Boolean get() = controller.reachesStore && controller.life == life

    private fun record(kind: String, body: Fields) {
        world.recorder?.record(world.now(), controller.label, kind, body)
    }

    private fun <T> reply(ms: Long, done: (T) -> Unit, make: () -> T) = world.after(ms) {
        // What was answered while the process stood still is as old as the answer.
        if (controller.life == life) {
            val made = make()
            controller.later(0) { if (controller.life == life) done(made) }
        }
    }

    // ---- the store --------------------------------------------------------------------------------------------

    override fun commit(transaction: CasTransaction, refusable: Boolean): Boolean {
        if (controller.old && transaction.writes.any { it.path == Keys.FORMAT }) return true
        if (!queue.offer(if (controller.old) asBeforeRollouts(transaction) else transaction, refusable)) return false
        drain()
        return true
    }

    private fun asBeforeRollouts(change: CasTransaction) = CasTransaction(
        change.preconditions.filter { it.path != Keys.ROLLOUT },
        change.writes.map {
            if (it is Write.Put) it.copy(value = SimController.asBeforeRollouts(it.path, it.value)) else it
        },
        change.writePriority,
        change.done,
    )

    private fun drain() {
        while (idleCommitters > 0) {
            when (val polled = queue.poll()) {
                is CommitQueue.Polled.Batch -> {
                    idleCommitters--
                    resolve(
                        InDoubtResolution(polled.transactions, ids, jitter::nextDouble) { change, outcome ->
                            change.done(outcome)
                        },
                    )
                }

                is CommitQueue.Polled.Wait -> {
                    if (!waiting) {
                        waiting = true
                        controller.later(polled.forMs) {
                            waiting = false
                            if (controller.life == life) drain()
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
                if (controller.life == life) {
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
                if (controller.life == life) {
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
        val conditions = transaction.preconditions.map { StoreMessages.precondition(it.path, it.version) }
        val writes = transaction.writes.map {
            when (it) {
                is Write.Put -> StoreMessages.put(it.path, it.value, it.lease, transaction.id)
                is Write.Delete -> StoreMessages.delete(it.path)
            }
        }
        record("commit", StoreMessages.transaction(conditions, writes))
    }

    private fun send(transaction: StoreTransaction, done: (CommitReply) -> Unit) {
        record(transaction)
        val late = controller.lateCommitMs
        if (late > 0L && transaction.writes.any { controller.lateCommitOf in it.path }) {
            controller.lateCommitMs = 0L
            world.after(late) {
                val outcome = store.commit(transaction)
                reply(ANSWER_MS, done) { outcome }
            }
            return
        }
        val lost = controller.loseAnswerOf
        if (lost != null && transaction.writes.any { lost in it.path }) {
            controller.loseAnswerOf = null
            world.after(SEND_MS * slow) { if (reachable) store.commit(transaction) }
            reply(COMMIT_PATIENCE_MS, done) { CommitReply.Unknown }
            return
        }
        val chance = world.random.nextDouble()
        when {
            chance < world.lateWrites -> {
                world.after(world.random.nextLong(LATE_FROM_MS, LATE_TO_MS)) { if (store.up) store.commit(transaction) }
                reply(COMMIT_PATIENCE_MS, done) { CommitReply.Unknown }
            }

            chance < world.lateWrites + world.lostAnswers -> {
                world.after(SEND_MS * slow) { if (reachable) store.commit(transaction) }
                reply(COMMIT_PATIENCE_MS, done) { CommitReply.Unknown }
            }

            else -> controller.later(SEND_MS * slow) {
                if (controller.life != life) return@later
                if (controller.storeCut) {
                    reply(COMMIT_PATIENCE_MS, done) { CommitReply.Unknown }
                } else {
                    val outcome = if (store.up) store.commit(transaction) else CommitReply.NotExecuted
                    reply(ANSWER_MS, done) { outcome }
                }
            }
        }
    }

    override fun get(path: String, done: (ReadResult) -> Unit) {
        record("get $path", emptyMap())
        reply(GET_MS * slow, done) {
            if (!reachable) {
                ReadResult.Failed
            } else {
                store.get(path)?.let { ReadResult.Found(controller.visible(it)) }
                    ?: ReadResult.Missing
            }
        }
    }

    override fun list(prefix: String, done: (ListResult) -> Unit) {
        record("list $prefix", emptyMap())
        reply(LIST_MS * slow, { _: Unit -> controller.list(life, prefix, done) }) {}
    }

    override fun writePermitLevel(): Double = writeLimiter.permitLevel()

    override fun extendLease(lease: Long?, lifeMs: Long, done: (LeaseState) -> Unit) {
        record("lease $lease", StoreMessages.leaseRequest(lifeMs))
        reply(GET_MS, done) {
            when {
                !reachable -> LeaseState.Unknown
                lease == null -> LeaseState.Held(store.lease(lifeMs), true)
                store.extend(lease, lifeMs) -> LeaseState.Held(lease, false)
                else -> LeaseState.Expired
            }
        }
    }

    override fun shareLimits(aliveControllers: Int, leading: Boolean) =
        writeLimiter.setRate(world.writesPerS * SAFETY / aliveControllers)

    // ---- other controllers and workers
    // --------------------------------------------------------------------------------

    override fun broadcast(message: PeerMessage) {
        world.controllers.filter { it.index != controller.index }.forEach { send(ControllerId(it.index), message) }
    }

    override fun send(peer: ControllerId, message: PeerMessage) {
        val to = world.controllers[peer.value]
        world.recorder?.record(world.now(), "${controller.label} to ${to.label}", message)
        if (!controller.peersCut && !to.peersCut) to.receive(message)
    }

    override fun call(addr: String, token: Long, epoch: Long, commands: List<WorkerCommand>, done: (Reply) -> Unit) {
        world.messages++
        record("direct $addr", WorkerReplies.directCall(token, epoch, commands))
        val worker = world.workerAt(addr)
        val late = controller.lateDirectMs
        controller.lateDirectMs = 0L
        when {
            worker == null || controller.workersCut || worker.cut -> reply(NO_ROUTE_MS, done) {
                Reply.NotSent("no route")
            }

            worker.unreachable -> reply(DIRECT_PATIENCE_MS, done) { Reply.Unanswered("deaf") }

            late > 0L -> {
                world.after(late) { worker.direct(token, epoch, commands) }
                reply(DIRECT_PATIENCE_MS, done) { Reply.Unanswered("late") }
            }

            worker.hung -> {
                worker.whenResumed { worker.direct(token, epoch, commands) }
                reply(DIRECT_PATIENCE_MS, done) { Reply.Unanswered("hung") }
            }

            else -> controller.later(DIRECT_MS) {
                if (controller.life != life) return@later
                val answer = worker.direct(token, epoch, commands)
                if (world.repeatDirectMs >
                    0L
                ) {
                    world.after(world.repeatDirectMs) { worker.direct(token, epoch, commands) }
                }
                reply(DIRECT_MS, done) { answer }
            }
        }
    }

    override fun terminate(reason: String) {
        record("end", emptyMap())
        controller.endUnfit(reason)
    }

    override fun expectMachines(count: Int) = Unit

    // ---- the cloud
    // ----------------------------------------------------------------------------------------------------

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
        if (world.rentalAnswerMs == 0L && world.lostRentalAnswers == 0) {
            reply(CLOUD_MS, done) { world.provision(request) }
            return
        }
        world.after(CLOUD_MS) {
            val result = world.provision(request)
            val isLost = world.lostRentalAnswers > 0
            if (isLost) world.lostRentalAnswers--
            reply(world.rentalAnswerMs, done) { if (isLost) ProvisioningResult.Failed else result }
        }
    }

    override fun returnMachines(machineNames: List<String>, done: (ReturnResult) -> Unit) {
        record("return", CloudMessages.returnRequest(machineNames))
        world.after(CLOUD_MS) {
            val result = world.returnMachines(machineNames)
            reply(1, done) { result }
        }
    }

    override fun listMachines(done: (CloudListing<ListedMachine>) -> Unit) {
        record("machines", emptyMap())
        reply(CLOUD_MS, done) {
            val machines = world.workers.values.map {
                ListedMachine(it.name, it.addr, it.machineType.label, it.zone, it.spot, "running", 0.0)
            }
            CloudListing.Complete(machines)
        }
    }

    override fun machineTypes(done: (CloudListing<MachineType>) -> Unit) {
        record("flavors", emptyMap())
        reply(TYPES_MS, done) { CloudListing.Complete(world.machineTypes) }
    }

    private companion object {
        const val COMMITTERS = 3
        const val MAX_SUBMISSIONS_QUEUED = 64
        const val SAFETY = 0.9
        const val SEND_MS = 3L
        const val ANSWER_MS = 3L
        const val GET_MS = 4L
        const val LIST_MS = 5L
        const val CLOUD_MS = 200L
        const val TYPES_MS = 100L
        const val DIRECT_MS = 2L
        const val NO_ROUTE_MS = 800L
        const val DIRECT_PATIENCE_MS = 2_500L
        const val COMMIT_PATIENCE_MS = 2_500L
        const val LATE_FROM_MS = 2_000L
        const val LATE_TO_MS = 12_000L
    }
}
