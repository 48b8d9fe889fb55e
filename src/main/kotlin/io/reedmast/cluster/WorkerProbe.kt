package io.reedmast.cluster

import io.reedmast.ports.WorkerTransport
import io.reedmast.wire.Reply

private const val NO_TOKEN = 0L
private const val NO_EPOCH = 0L

/**
 * Checks whether the worker at [addr] answers this controller.
 *
 * The token and epoch that are sent are not the worker's, so it executes nothing and refuses the call with its newest
 * status.
 */
internal fun WorkerTransport.probe(addr: String, onReply: (Reply) -> Unit) =
    call(addr, NO_TOKEN, NO_EPOCH, emptyList(), onReply)
