package io.reedmast.cluster

import io.reedmast.ports.WorkerTransport
import io.reedmast.wire.Reply

private const val NO_TOKEN = 0L
private const val NO_EPOCH = 0L

/**
 * Finds out whether the worker at [addr] answers this controller.
 *
 * Neither token nor epoch are the worker's: nothing is executed, and the refusal is its newest status.
 */
internal fun WorkerTransport.probe(addr: String, onReply: (Reply) -> Unit) =
    call(addr, NO_TOKEN, NO_EPOCH, emptyList(), onReply)
