package io.reedmast.peers

import io.reedmast.ports.PeerMessage
import okio.IOException
import okio.buffer
import okio.source
import org.slf4j.LoggerFactory
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.Executor
import java.util.concurrent.RejectedExecutionException

/**
 * Receives the messages of the other controllers, each connection on a thread of [connectionExecutor]. A connection is
 * closed when the executor has no thread for it, when nothing arrives for a minute, and at the first malformed frame.
 *
 * @param onMessage called with each message, on the connection's thread
 */
class PeerServer(
    private val address: InetSocketAddress,
    private val connectionExecutor: Executor,
    private val onMessage: (PeerMessage) -> Unit,
) {
    private val log = LoggerFactory.getLogger("peers")

    /** Opens the port; throws [IOException] if it is in use. [run] accepts the connections. */
    fun open(): ServerSocket = ServerSocket().apply {
        reuseAddress = true
        bind(address)
    }

    /** Accepts connections on [server]; never returns. */
    fun run(server: ServerSocket) {
        while (true) {
            val socket =
                try {
                    server.accept()
                } catch (e: IOException) {
                    log.error("peer connection: accept failed: {}", e.message)
                    Thread.sleep(ACCEPT_RETRY_DELAY_MS)
                    continue
                }
            try {
                connectionExecutor.execute { serve(socket) }
            } catch (e: RejectedExecutionException) {
                log.debug("peer connection: closed, no thread is free for it", e)
                socket.close()
            }
        }
    }

    private fun serve(socket: Socket) {
        socket.use {
            try {
                socket.soTimeout = MAX_IDLE_MS
                val source = socket.source().buffer()
                while (true) onMessage(PeerCodec.read(source))
            } catch (e: IOException) {
                log.debug("peer connection: closed: {}", e.message)
            }
        }
    }

    private companion object {
        const val MAX_IDLE_MS = 60_000
        const val ACCEPT_RETRY_DELAY_MS = 500L
    }
}
