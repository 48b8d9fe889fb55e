package io.reedmast.ports

import io.reedmast.wire.Reply
import io.reedmast.wire.WorkerCommand

/** Direct calls to workers; each answers later, on the deciding thread. */
interface WorkerTransport {
    /** Sends [commands] to the worker at [addr], which refuses them unless [token] and [epoch] suit it. */
    fun call(addr: String, token: Long, epoch: Long, commands: List<WorkerCommand>, done: (Reply) -> Unit)
}
