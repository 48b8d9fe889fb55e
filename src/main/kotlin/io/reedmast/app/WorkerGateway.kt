package io.reedmast.app

import io.reedmast.ports.WorkerTransport
import io.reedmast.wire.HttpCaller
import io.reedmast.wire.Reply
import io.reedmast.wire.WorkerCommand
import io.reedmast.wire.WorkerReplies

/** Direct calls to workers over the network, on their own thread pool. */
internal class WorkerGateway(private val maxConnections: Int, private val calls: AsyncCalls) : WorkerTransport {
    private val pool = WorkPool("direct", THREADS, MAX_QUEUED_CALLS)

    /** With many machines, hundreds of idle connections to them would use up sockets that workers need to connect. */
    @Volatile
    private var socketsAreScarce = false
    private val caller = HttpCaller(CONNECT_MS, READ_MS) { !socketsAreScarce }

    /** Keeps connections to workers open between calls only while [machines] workers leave enough sockets for that. */
    fun expectMachines(machines: Int) {
        socketsAreScarce = machines > maxConnections * SCARCE_SOCKETS_RATIO
    }

    override fun call(addr: String, token: Long, epoch: Long, commands: List<WorkerCommand>, done: (Reply) -> Unit) {
        val body = WorkerReplies.directCall(token, epoch, commands)
        val notSent = Reply.NotSent("call queue full, or more than $MAX_CALL_WAIT_MS ms in it")
        calls.call(pool, { caller.call("POST", addr, "/do", body) }, notSent, done, MAX_CALL_WAIT_MS)
    }

    private companion object {
        const val THREADS = 16
        const val MAX_QUEUED_CALLS = 400
        const val CONNECT_MS = 800
        const val READ_MS = 2000
        const val SCARCE_SOCKETS_RATIO = 0.6
        const val MAX_CALL_WAIT_MS = 5_000L
    }
}
