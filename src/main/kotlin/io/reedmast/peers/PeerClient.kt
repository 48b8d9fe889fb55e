package io.reedmast.peers

import okio.IOException
import okio.buffer
import okio.sink
import java.net.InetSocketAddress
import java.net.Socket

/** A connection to one other controller, opened when first needed and again after it broke. */
class PeerClient(private val address: InetSocketAddress) {
    private class Open(val socket: Socket) {
        val sink = socket.sink().buffer()
    }

    private var open: Open? = null

    /** Sends [message]; false if the other controller cannot be reached now. */
    @Synchronized
    fun send(message: PeerMessage): Boolean = try {
        val link = open ?: connect().also { open = it }
        PeerCodec.write(link.sink, message)
        true
    } catch (e: IOException) {
        open?.socket?.close()
        open = null
        false
    }

    private fun connect(): Open {
        val socket = Socket()
        try {
            socket.connect(address, CONNECT_MS)
            socket.tcpNoDelay = true
            return Open(socket)
        } catch (e: IOException) {
            socket.close()
            throw e
        }
    }

    private companion object {
        const val CONNECT_MS = 300
    }
}
