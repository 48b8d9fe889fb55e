package io.reedmast.sim

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitQueue
import io.reedmast.kvstore.CommitReply
import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.InDoubtResolution
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.ReadResult
import io.reedmast.kvstore.ResolutionStep
import io.reedmast.kvstore.StoreTransaction
import io.reedmast.kvstore.StoredItem
import io.reedmast.kvstore.TransactionIds
import io.reedmast.kvstore.Write
import io.reedmast.kvstore.WriteRateLimiter
import io.reedmast.ports.Gateway
import io.reedmast.ports.LeaseState
import io.reedmast.ports.PeerMessage
import io.reedmast.ports.ProvisioningRequest
import io.reedmast.ports.ProvisioningResult
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

/** All I/O of one process of a [SimNode], its life number [life]: what it gets back depends on the world's troubles. */
class SimGateway(
    private val world: World,
    private val node: SimNode,
    private val life: Int,
    private val limits: EffectiveLimits,
    incarnation: String,
) : Gateway {
    private val state get() = world.state
    private val slow get() = world.stateSlow
    private val writeLimiter = WriteRateLimiter(world.writesPerS, world::now)
    private val queue = CommitQueue(limits.target, writeLimiter, MAX_SUBMISSIONS_QUEUED, world::now)
    private val ids = TransactionIds(incarnation)
    private val jitter = Random(life * 31 + node.index)
    private var idleCommitters = COMMITTERS
    private var waiting = false

    override var isAvailable = true
        private set

    private val reachable: Boolean get() = node.hearsState && node.life == life

    private fun record(kind: String, body: Fields) {
        world.recorder?.record(world.now(), node.label, kind, body)
    }

    private fun <T> reply(ms: Long, done: (T) -> Unit, make: () -> T) = world.after(ms) {
        // What was answered while the process stood still is as old as the answer.
        if (node.life == life) make().let { made -> node.later(0) { if (node.life == life) done(made) } }
    }

    // ---- the store --------------------------------------------------------------------------------------------

    override fun commit(transaction: CasTransaction, refusable: Boolean): Boolean {
        if (node.old && transaction.writes.any { it.path == Keys.FORMAT }) return true
        if (!queue.offer(if (node.old) asBeforeRollouts(transaction) else transaction, refusable)) return false
        drain()
        return true
    }

    private fun asBeforeRollouts(change: CasTransaction) = CasTransaction(
        change.preconditions.filter { it.path != Keys.ROLLOUT },
        change.writes.map { if (it is Write.Put) it.copy(value = SimNode.asBeforeRollouts(it.path, it.value)) else it },
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
                        node.later(polled.forMs) {
                            waiting = false
                            if (node.life == life) drain()
                        }
                    }
                    return
                }

                CommitQueue.Polled.Empty -> return
            }
        }
    }

    private fun resolve(resolution: InDoubtResolution) {
        when (val step = resolution.next()) {
            is ResolutionStep.Send -> node.later(step.afterMs) {
                if (node.life == life) {
                    send(step.transaction) {
                        isAvailable = it !is CommitReply.NotExecuted && it !is CommitReply.Unknown
                        if (it is CommitReply.Malformed && limits.exceedsOnlyReduced(step.transaction)) limits.reduce()
                        if (it is CommitReply.RateLimited) writeLimiter.empty()
                        resolution.replied(it)
                        resolve(resolution)
                    }
                }
            }

            is ResolutionStep.Read -> node.later(step.afterMs) {
                if (node.life == life) {
                    get(step.path) {
                        resolution.read(it)
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
        val conditions = transaction.preconditions.map { StoreMessages.condition(it.path, it.version) }
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
        val late = node.lateCommitMs
        if (late > 0L && transaction.writes.any { node.lateCommitOf in it.path }) {
            node.lateCommitMs = 0L
            world.after(late) {
                val outcome = state.commit(transaction)
                reply(ANSWER_MS, done) { outcome }
            }
            return
        }
        val lost = node.loseAnswerOf
        if (lost != null && transaction.writes.any { lost in it.path }) {
            node.loseAnswerOf = null
            world.after(SEND_MS * slow) { if (reachable) state.commit(transaction) }
            reply(COMMIT_PATIENCE_MS, done) { CommitReply.Unknown }
            return
        }
        val chance = world.random.nextDouble()
        when {
            chance < world.lateWrites -> {
                world.after(world.random.nextLong(LATE_FROM_MS, LATE_TO_MS)) { if (state.up) state.commit(transaction) }
                reply(COMMIT_PATIENCE_MS, done) { CommitReply.Unknown }
            }

            chance < world.lateWrites + world.lostAnswers -> {
                world.after(SEND_MS * slow) { if (reachable) state.commit(transaction) }
                reply(COMMIT_PATIENCE_MS, done) { CommitReply.Unknown }
            }

            else -> node.later(SEND_MS * slow) {
                if (node.life != life) return@later
                if (node.stateCut) {
                    reply(COMMIT_PATIENCE_MS, done) { CommitReply.Unknown }
                } else {
                    val outcome = if (state.up) state.commit(transaction) else CommitReply.NotExecuted
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
                state.get(path)?.let { ReadResult.Found(node.visible(it)) }
                    ?: ReadResult.Missing
            }
        }
    }

    override fun list(prefix: String, done: (List<StoredItem>?) -> Unit) {
        record("list $prefix", emptyMap())
        reply(LIST_MS * slow, { _: Unit -> node.list(life, prefix) { items, _ -> done(items) } }) {}
    }

    override fun writePermitLevel(): Double = writeLimiter.permitLevel()

    override fun extendLease(lease: Long?, lifeMs: Long, done: (LeaseState) -> Unit) {
        record("lease $lease", StoreMessages.leaseRequest(lifeMs))
        reply(GET_MS, done) {
            when {
                !reachable -> LeaseState.Unknown
                lease == null -> LeaseState.Held(state.lease(lifeMs), true)
                state.extend(lease, lifeMs) -> LeaseState.Held(lease, false)
                else -> LeaseState.Lost
            }
        }
    }

    override fun shareLimits(aliveControllers: Int, leading: Boolean) =
        writeLimiter.setRate(world.writesPerS * SAFETY / aliveControllers)

    // ---- other controllers and workers
    // --------------------------------------------------------------------------------

    override fun broadcast(message: PeerMessage) {
        world.nodes.filter { it.index != node.index }.forEach { send(ControllerId(it.index), message) }
    }

    override fun send(peer: ControllerId, message: PeerMessage) {
        val to = world.nodes[peer.value]
        world.recorder?.record(world.now(), "${node.label} to ${to.label}", message)
        if (!node.peersCut && !to.peersCut) to.receive(message)
    }

    override fun call(addr: String, token: Long, epoch: Long, commands: List<WorkerCommand>, done: (Reply) -> Unit) {
        world.messages++
        record("direct $addr", WorkerReplies.directCall(token, epoch, commands))
        val worker = world.workerAt(addr)
        val late = node.lateDirectMs
        node.lateDirectMs = 0L
        when {
            worker == null || node.workersCut || worker.cut -> reply(NO_ROUTE_MS, done) { Reply.NotSent("no route") }

            worker.deaf -> reply(DIRECT_PATIENCE_MS, done) { Reply.Unanswered("deaf") }

            late > 0L -> {
                world.after(late) { worker.direct(token, epoch, commands) }
                reply(DIRECT_PATIENCE_MS, done) { Reply.Unanswered("late") }
            }

            worker.hung -> {
                worker.whenResumed { worker.direct(token, epoch, commands) }
                reply(DIRECT_PATIENCE_MS, done) { Reply.Unanswered("hung") }
            }

            else -> node.later(DIRECT_MS) {
                if (node.life != life) return@later
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

    override fun end(reason: String) {
        record("end", emptyMap())
        node.endUnfit(reason)
    }

    override fun expectMachines(count: Int) = Unit

    // ---- the cloud
    // ----------------------------------------------------------------------------------------------------

    override fun provision(request: ProvisioningRequest, done: (ProvisioningResult) -> Unit) {
        record(
            "rent",
            CloudMessages.rental(request.requestName, request.typeName, request.zone, request.spot, request.count),
        )
        reply(CLOUD_MS, done) { world.provision(request) }
    }

    override fun returnMachines(machineNames: List<String>, done: (Boolean) -> Unit) {
        record("return", CloudMessages.returnOf(machineNames))
        world.after(CLOUD_MS) {
            val confirmed = world.returnMachines(machineNames)
            reply(1, done) { confirmed }
        }
    }

    override fun listMachines(done: (List<ListedMachine>?) -> Unit) {
        record("machines", emptyMap())
        reply(CLOUD_MS, done) {
            world.workers.values.map {
                ListedMachine(it.name, it.addr, it.machineType.label, it.zone, it.spot, "running", 0.0)
            }
        }
    }

    override fun machineTypes(done: (List<MachineType>?) -> Unit) {
        record("flavors", emptyMap())
        reply(TYPES_MS, done) { world.machineTypes }
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
