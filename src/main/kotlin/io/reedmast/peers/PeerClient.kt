package io.reedmast.peers

import io.reedmast.ports.PeerMessage
import okio.IOException
import okio.buffer
import okio.sink
import org.slf4j.LoggerFactory
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.TimeUnit

/**
 * Sends messages to one other controller.
 *
 * Status updates share a connection, which is reopened from time to time. Every other message is sent on a connection
 * of its own: after a controller has lost power and come back, the old connection is still open on this side, and what
 * is written to it is lost without an error.
 */
class PeerClient(private val address: InetSocketAddress) {
    private val log = LoggerFactory.getLogger("peers")

    /** An open connection; [openedAt] is in nanoseconds of the monotonic clock. */
    private class Connection(val socket: Socket) {
        val openedAt: Long = System.nanoTime()
        val sink = socket.sink().apply { timeout().timeout(WRITE_TIMEOUT_MS, TimeUnit.MILLISECONDS) }.buffer()
        val isOld: Boolean get() = System.nanoTime() - openedAt > TimeUnit.MILLISECONDS.toNanos(MAX_CONNECTION_AGE_MS)
    }

    private var statusConnection: Connection? = null

    /**
     * Sends [message]. Returns false if the other controller cannot be reached now; true does not mean that the message
     * has arrived.
     */
    @Synchronized
    fun send(message: PeerMessage): Boolean = try {
        if (message is PeerMessage.ShardStatusUpdate) sendOnStatusConnection(message) else sendOnNewConnection(message)
        true
    } catch (e: IOException) {
        log.debug("peer {}: sending failed, message lost", address, e)
        false
    }

    private fun sendOnStatusConnection(message: PeerMessage) {
        if (statusConnection?.isOld == true) closeStatusConnection()
        val connection = statusConnection ?: connect().also { statusConnection = it }
        try {
            PeerCodec.write(connection.sink, message)
        } catch (e: IOException) {
            closeStatusConnection()
            throw e
        }
    }

    private fun sendOnNewConnection(message: PeerMessage) {
        val connection = connect()
        connection.socket.use { PeerCodec.write(connection.sink, message) }
    }

    private fun closeStatusConnection() {
        statusConnection?.socket?.close()
        statusConnection = null
    }

    private fun connect(): Connection {
        val socket = Socket()
        try {
            socket.connect(address, CONNECT_TIMEOUT_MS)
            socket.tcpNoDelay = true
            return Connection(socket)
        } catch (e: IOException) {
            socket.close()
            throw e
        }
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 300
        const val WRITE_TIMEOUT_MS = 1_000L
        const val MAX_CONNECTION_AGE_MS = 15_000L
    }
}
