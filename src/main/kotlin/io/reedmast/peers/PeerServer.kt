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
 * Receives the messages of the other controllers, each connection on a thread of [connections]. A connection is closed
 * when [connections] has no thread for it, when nothing comes for a minute, and at the first frame that makes no sense.
 *
 * @param onMessage gets each message, on the connection's thread
 */
class PeerServer(
    private val address: InetSocketAddress,
    private val connections: Executor,
    private val onMessage: (PeerMessage) -> Unit,
) {
    private val log = LoggerFactory.getLogger("peers")

    /** Opens the port; throws [IOException] if it is not free. The accepting loop is [run]. */
    fun open(): ServerSocket = ServerSocket().apply {
        reuseAddress = true
        bind(address)
    }

    /** Accepts connections on [server] for ever; returns never. */
    fun run(server: ServerSocket) {
        while (true) {
            val socket =
                try {
                    server.accept()
                } catch (e: IOException) {
                    log.error("peer connection: cannot be accepted: {}", e.message)
                    Thread.sleep(ACCEPT_PAUSE_MS)
                    continue
                }
            try {
                connections.execute { serve(socket) }
            } catch (e: RejectedExecutionException) {
                log.debug("peer connection: no thread is free for it", e)
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
        const val ACCEPT_PAUSE_MS = 500L
    }
}
