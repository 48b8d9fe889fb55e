package io.reedmast.peers

import okio.Buffer
import okio.BufferedSink
import okio.BufferedSource
import okio.IOException
import okio.buffer
import okio.sink
import okio.source
import org.slf4j.LoggerFactory
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.Executor
import java.util.concurrent.RejectedExecutionException

/** How far a job is, as its slice's owner knows it. */
data class Progress(val done: Int, val running: Int)

/**
 * Frames between controllers: a length, then the message. A question is a job id; the answer is empty if the node does
 * not have the job, or two counts.
 */
internal object Frames {
    private const val MAX_FRAME = 4096

    fun write(sink: BufferedSink, message: Buffer) {
        sink.writeInt(message.size.toInt())
        sink.write(message, message.size)
        sink.flush()
    }

    fun read(source: BufferedSource): Buffer {
        val size = source.readInt()
        if (size !in 0..MAX_FRAME) throw IOException("a frame of $size bytes")
        val message = Buffer()
        source.readFully(message, size.toLong())
        return message
    }
}

/** Answers the questions of the other controllers. */
class PeerServer(private val address: InetSocketAddress, private val connections: Executor, private val progress: (String) -> Progress?) {
    private val log = LoggerFactory.getLogger("peers")

    /** Opens the port; the accepting loop is [run]. */
    fun open(): ServerSocket = ServerSocket().apply { bind(address) }

    fun run(server: ServerSocket) {
        while (true) {
            val socket =
                try {
                    server.accept()
                } catch (e: IOException) {
                    log.error("cannot accept: {}", e.message)
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
                socket.tcpNoDelay = true
                val source = socket.source().buffer()
                val sink = socket.sink().buffer()
                while (true) {
                    val known = progress(Frames.read(source).readUtf8())
                    val answer = Buffer()
                    if (known != null) answer.writeInt(known.done).writeInt(known.running)
                    Frames.write(sink, answer)
                }
            } catch (e: IOException) {
                log.debug("a peer's connection ends: {}", e.message)
            }
        }
    }

    private companion object {
        const val IDLE_MS = 60_000
        const val ACCEPT_PAUSE_MS = 500L
    }
}

/** A connection to one other controller, opened when first needed and again after it broke. */
class PeerClient(private val address: InetSocketAddress) {
    private class Open(val socket: Socket) {
        val source = socket.source().buffer()
        val sink = socket.sink().buffer()
    }

    private var open: Open? = null

    /** What the other controller knows of the job; null if it knows nothing or does not answer in time. */
    @Synchronized
    fun progress(ref: String): Progress? = try {
        val link = open ?: connect().also { open = it }
        Frames.write(link.sink, Buffer().writeUtf8(ref))
        val answer = Frames.read(link.source)
        if (answer.size == 2L * Int.SIZE_BYTES) Progress(answer.readInt(), answer.readInt()) else null
    } catch (e: IOException) {
        open?.socket?.close()
        open = null
        null
    }

    private fun connect(): Open {
        val socket = Socket()
        try {
            socket.connect(address, CONNECT_MS)
            socket.soTimeout = READ_MS
            socket.tcpNoDelay = true
            return Open(socket)
        } catch (e: IOException) {
            socket.close()
            throw e
        }
    }

    private companion object {
        const val CONNECT_MS = 300
        const val READ_MS = 500
    }
}
