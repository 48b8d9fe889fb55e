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

/** Receives the messages of the other controllers, each connection on a thread of [connections]. */
class PeerServer(
    private val address: InetSocketAddress,
    private val connections: Executor,
    private val received: (PeerMessage) -> Unit,
) {
    private val log = LoggerFactory.getLogger("peers")

    /** Opens the port; the accepting loop is [run]. */
    fun open(): ServerSocket = ServerSocket().apply {
        reuseAddress = true
        bind(address)
    }

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
                socket.close()
            }
        }
    }

    private fun serve(socket: Socket) {
        socket.use {
            try {
                socket.soTimeout = IDLE_MS
                val source = socket.source().buffer()
                while (true) received(PeerCodec.read(source))
            } catch (e: IOException) {
                log.debug("peer connection: closed: {}", e.message)
            }
        }
    }

    private companion object {
        const val IDLE_MS = 60_000
        const val ACCEPT_PAUSE_MS = 500L
    }
}
