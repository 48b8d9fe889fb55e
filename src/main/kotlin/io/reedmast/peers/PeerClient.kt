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
 * Status updates share a connection, which is opened anew now and then. All other messages get one of their own: a
 * controller that lost its power and came back leaves the old connection open here, and what is written to it is lost
 * without an error.
 */
class PeerClient(private val address: InetSocketAddress) {
    private val log = LoggerFactory.getLogger("peers")

    /** An open connection and when it was opened, in nanoseconds of the steady clock. */
    private class Connection(val socket: Socket) {
        val openedAt: Long = System.nanoTime()
        val sink = socket.sink().apply { timeout().timeout(WRITE_MS, TimeUnit.MILLISECONDS) }.buffer()
        val isOld: Boolean get() = System.nanoTime() - openedAt > TimeUnit.MILLISECONDS.toNanos(REOPEN_MS)
    }

    private var shared: Connection? = null

    /** Sends [message]; false if the other controller cannot be reached now. True does not mean that it arrived. */
    @Synchronized
    fun send(message: PeerMessage): Boolean = try {
        if (message is PeerMessage.ShardStatusUpdate) sendShared(message) else sendAlone(message)
        true
    } catch (e: IOException) {
        log.debug("peer {}: a message is lost", address, e)
        false
    }

    private fun sendShared(message: PeerMessage) {
        if (shared?.isOld == true) closeShared()
        val connection = shared ?: connect().also { shared = it }
        try {
            PeerCodec.write(connection.sink, message)
        } catch (e: IOException) {
            closeShared()
            throw e
        }
    }

    private fun sendAlone(message: PeerMessage) {
        val connection = connect()
        connection.socket.use { PeerCodec.write(connection.sink, message) }
    }

    private fun closeShared() {
        shared?.socket?.close()
        shared = null
    }

    private fun connect(): Connection {
        val socket = Socket()
        try {
            socket.connect(address, CONNECT_MS)
            socket.tcpNoDelay = true
            return Connection(socket)
        } catch (e: IOException) {
            socket.close()
            throw e
        }
    }

    private companion object {
        const val CONNECT_MS = 300
        const val WRITE_MS = 1_000L
        const val REOPEN_MS = 15_000L
    }
}
