package io.reedmast.app

import io.reedmast.ports.WorkerTransport
import io.reedmast.wire.HttpCaller
import io.reedmast.wire.Reply
import io.reedmast.wire.WorkerCommand
import io.reedmast.wire.WorkerReplies

/** Direct calls to workers over the network, on a pool of threads of their own. */
internal class WorkerGateway(private val maxConnections: Int, private val calls: AsyncCalls) : WorkerTransport {
    private val pool = WorkPool("direct", THREADS, MAX_QUEUED_CALLS)

    /** With many machines, hundreds of connections to them would lie idle that the workers' own connections need. */
    @Volatile
    private var socketsAreScarce = false
    private val caller = HttpCaller(CONNECT_MS, READ_MS) { !socketsAreScarce }

    /** Keeps connections to workers open only while [machines] leave enough sockets for it. */
    fun expectMachines(machines: Int) {
        socketsAreScarce = machines > maxConnections * SCARCE_PART
    }

    override fun call(addr: String, token: Long, epoch: Long, commands: List<WorkerCommand>, done: (Reply) -> Unit) {
        val body = WorkerReplies.directCall(token, epoch, commands)
        val notSent = Reply.NotSent("too many calls")
        calls.call(pool, { caller.call("POST", addr, "/do", body) }, notSent, done, STALE_CALL_MS)
    }

    private companion object {
        const val THREADS = 16
        const val MAX_QUEUED_CALLS = 400
        const val CONNECT_MS = 800
        const val READ_MS = 2000
        const val SCARCE_PART = 0.6
        const val STALE_CALL_MS = 5_000L
    }
}
