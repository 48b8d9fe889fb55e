package io.reedmast.peers

import io.reedmast.workers.HostNews
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

/** What an owner tells the other nodes of its slice's jobs and machines. */
data class Told(val jobs: List<Progress>, val hosts: List<HostNews>)

/**
 * Frames between controllers: a length, then entries that each begin with their kind. Nothing is answered: what an owner
 * tells is for display, or a hint, and told again now and then.
 */
internal object Frames {
    private const val MAX_FRAME = 64 * 1024
    private const val JOB = 1
    private const val HOST = 2
    private const val MAX_TEXT = 255
    private const val MAX_IMAGES = 255

    /** As many frames as [told] takes. */
    fun write(sink: BufferedSink, told: Told) {
        val frame = Buffer()
        fun add(entry: Buffer) {
            if (frame.size + entry.size > MAX_FRAME) send(sink, frame)
            frame.write(entry, entry.size)
        }
        for (of in told.jobs) add(Buffer().writeByte(JOB).text(of.ref).writeInt(of.done).writeInt(of.running))
        for (of in told.hosts) {
            val images = of.images.takeLast(MAX_IMAGES)
            val entry = Buffer().writeByte(HOST).text(of.host).text(of.addr).writeByte(images.size)
            images.forEach { (bundle, sizeGb) -> entry.text(bundle).writeLong(sizeGb.toRawBits()) }
            add(entry)
        }
        send(sink, frame)
        sink.flush()
    }

    private fun Buffer.text(text: String): Buffer {
        val bytes = text.encodeUtf8().let { if (it.size > MAX_TEXT) it.substring(0, MAX_TEXT) else it }
        return writeByte(bytes.size).write(bytes)
    }

    private fun Buffer.readText(): String = readUtf8(readSmall().toLong())

    private fun Buffer.readSmall(): Int = readByte().toInt() and 0xff

    private fun send(sink: BufferedSink, frame: Buffer) {
        sink.writeInt(frame.size.toInt())
        sink.write(frame, frame.size)
    }

    fun read(source: BufferedSource): Told {
        val size = source.readInt()
        if (size !in 0..MAX_FRAME) throw IOException("a frame of $size bytes")
        val frame = Buffer()
        source.readFully(frame, size.toLong())
        val jobs = ArrayList<Progress>()
        val hosts = ArrayList<HostNews>()
        while (!frame.exhausted()) {
            when (val kind = frame.readSmall()) {
                JOB -> jobs.add(Progress(frame.readText(), frame.readInt(), frame.readInt()))
                HOST -> hosts.add(
                    HostNews(
                        frame.readText(),
                        frame.readText(),
                        List(frame.readSmall()) {
                            frame.readText() to Double.fromBits(frame.readLong())
                        },
                    ),
                )
                else -> throw IOException("an entry of kind $kind")
            }
        }
        return Told(jobs, hosts)
    }
}

/** Hears what the other controllers tell. */
class PeerServer(private val address: InetSocketAddress, private val connections: Executor, private val heard: (Told) -> Unit) {
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
    fun tell(told: Told): Boolean = try {
        val link = open ?: connect().also { open = it }
        Frames.write(link.sink, told)
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
