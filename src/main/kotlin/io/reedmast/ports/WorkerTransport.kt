package io.reedmast.ports

import io.reedmast.wire.Reply
import io.reedmast.wire.WorkerCommand

/** Direct calls to workers; each delivers its result later, on the event loop. */
interface WorkerTransport {
    /**
     * Sends [commands] to the worker at [addr], which refuses them if it knows a higher fencing [token] or is in
     * another [epoch]. [done] gets [Reply.Unanswered] if the worker may have executed them although no answer came
     * back.
     */
    fun call(addr: String, token: Long, epoch: Long, commands: List<WorkerCommand>, done: (Reply) -> Unit)
}
