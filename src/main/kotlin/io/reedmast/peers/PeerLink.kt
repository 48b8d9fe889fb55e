package io.reedmast.peers

import okio.Buffer
import okio.BufferedSink
import okio.BufferedSource
import okio.ByteString.Companion.encodeUtf8
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
data class Progress(val ref: String, val done: Int, val running: Int)

/**
 * Frames between controllers: a length, then entries of a job id with its length, and two counts. Nothing is answered:
 * what an owner tells of its jobs is for display, and told again when it changes.
 */
internal object Frames {
    private const val MAX_FRAME = 64 * 1024
    private const val MAX_REF = 255

    /** As many frames as [progress] takes. */
    fun write(sink: BufferedSink, progress: List<Progress>) {
        val message = Buffer()
        for (of in progress) {
            val ref = of.ref.encodeUtf8()
            if (ref.size > MAX_REF) continue
            if (message.size + ref.size + 1 + 2 * Int.SIZE_BYTES > MAX_FRAME) send(sink, message)
            message.writeByte(ref.size).write(ref).writeInt(of.done).writeInt(of.running)
        }
        send(sink, message)
        sink.flush()
    }

    private fun send(sink: BufferedSink, message: Buffer) {
        sink.writeInt(message.size.toInt())
        sink.write(message, message.size)
    }

    fun read(source: BufferedSource): List<Progress> {
        val size = source.readInt()
        if (size !in 0..MAX_FRAME) throw IOException("a frame of $size bytes")
        val message = Buffer()
        source.readFully(message, size.toLong())
        val progress = ArrayList<Progress>()
        while (!message.exhausted()) {
            val ref = message.readUtf8((message.readByte().toInt() and 0xff).toLong())
            progress.add(Progress(ref, message.readInt(), message.readInt()))
        }
        return progress
    }
}

/** Hears what the other controllers tell. */
class PeerServer(private val address: InetSocketAddress, private val connections: Executor, private val heard: (List<Progress>) -> Unit) {
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
                val source = socket.source().buffer()
                while (true) heard(Frames.read(source))
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
        val sink = socket.sink().buffer()
    }

    private var open: Open? = null

    /** False if the other controller cannot be reached now. */
    @Synchronized
    fun tell(progress: List<Progress>): Boolean = try {
        val link = open ?: connect().also { open = it }
        Frames.write(link.sink, progress)
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
